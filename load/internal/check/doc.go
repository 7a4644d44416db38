// Package check verifies answers against their requests and snapshots, and write outcomes against the records of the
// replicas.
package check
