// Package metrics publishes what a host does in the Prometheus format.
package metrics
