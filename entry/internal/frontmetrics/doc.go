// Package frontmetrics counts the opaque requests of a host and publishes what it knows and how fresh that is.
package frontmetrics
