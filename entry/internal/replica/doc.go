// Package replica keeps what this host knows of the replicas of one service.
package replica
