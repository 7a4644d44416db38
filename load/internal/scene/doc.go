// Package scene describes one experiment.
package scene
