// Package metrics publishes the Prometheus metrics of an entry host.
package metrics
