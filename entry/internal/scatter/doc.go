// Package scatter sends an opaque request to one replica of each of its shards and decides about second tries and about
// when to answer.
package scatter
