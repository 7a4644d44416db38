// Package overload decides whether a request is let in while tries of others wait for the replicas that it needs.
package overload
