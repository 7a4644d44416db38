// Package replica holds the state of a service's replicas as seen by this host, and the shard maps built from it.
package replica
