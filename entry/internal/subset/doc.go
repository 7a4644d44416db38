// Package subset chooses the subset of a service's replicas that a host connects to.
package subset
