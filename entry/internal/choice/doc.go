// Package choice selects the replica of a shard that an attempt is sent to.
package choice
