// Package replicatest simulates replicas over in-memory connections, so that tests of the requests to them run in the
// virtual time of synctest.
package replicatest
