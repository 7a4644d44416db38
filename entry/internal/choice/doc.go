// Package choice selects the replica of a shard that receives a try.
package choice
