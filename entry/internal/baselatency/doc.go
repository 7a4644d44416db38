// Package baselatency estimates reply times without queueing at the replicas.
package baselatency
