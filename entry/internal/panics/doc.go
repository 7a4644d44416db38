// Package panics answers requests whose handler panics.
package panics
