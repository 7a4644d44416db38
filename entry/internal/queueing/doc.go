// Package queueing estimates how long requests queue at the replicas of a service.
package queueing
