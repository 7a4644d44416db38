// Package measure computes latency, coverage and goodput of a run from its samples.
package measure
