// Package scatter sends an opaque request to one replica of each of its shards, retries and hedges attempts, and
// decides when the results are sufficient for an answer.
package scatter
