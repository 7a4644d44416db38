// Package unloaded estimates reply times without queueing at the replicas.
package unloaded
