// Package lifecycle runs the servers of a host until it is stopped and has drained.
package lifecycle
