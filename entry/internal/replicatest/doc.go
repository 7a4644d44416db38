// Package replicatest plays replicas over in-memory connections, so that tests of what is sent to them run in virtual
// time.
package replicatest
