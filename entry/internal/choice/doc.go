// Package choice decides which replica of a shard a try goes to.
package choice
