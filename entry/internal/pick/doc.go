// Package pick estimates replica latencies and ranks replicas for a request.
package pick
