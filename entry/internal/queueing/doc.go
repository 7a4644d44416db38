// Package queueing measures how long requests queue at the replicas of a service.
package queueing
