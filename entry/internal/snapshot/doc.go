// Package snapshot selects the index version that a query is pinned to.
package snapshot
