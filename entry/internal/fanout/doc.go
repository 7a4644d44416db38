// Package fanout sends one query to a replica of every shard of an index version and merges the replies that arrive
// before the deadline.
package fanout
