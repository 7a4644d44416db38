// Package adapt limits how many requests of a service one host runs at once. It derives the limit from the rise of the
// upstream's reply latency.
package adapt
