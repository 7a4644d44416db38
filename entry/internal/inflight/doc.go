// Package inflight limits the requests that a host may have in flight at one replica.
package inflight
