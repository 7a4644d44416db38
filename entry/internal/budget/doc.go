// Package budget bounds the tries that a service sends beyond the first of each shard.
package budget
