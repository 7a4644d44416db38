// Package scene reads the YAML files that describe load experiments.
package scene
