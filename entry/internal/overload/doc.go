// Package overload decides whether a request is admitted while attempts of other requests wait for the replicas that it
// needs.
package overload
