// Package frontmetrics publishes the Prometheus metrics of a host that forwards opaque requests: its requests, its
// copies of the store's objects and their age.
package frontmetrics
