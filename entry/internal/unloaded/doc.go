// Package unloaded keeps how long replies take while nothing queues at the replicas.
package unloaded
