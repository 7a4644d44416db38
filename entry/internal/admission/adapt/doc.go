// Package adapt decides how many requests of a service one host runs at once, from how the upstream's replies slow
// down.
package adapt
