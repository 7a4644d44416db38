// Package snapshot decides which index version a query is pinned to.
package snapshot
