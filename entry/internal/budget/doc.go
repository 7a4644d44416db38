// Package budget bounds the retries and hedges of a service, which are sent beyond the first attempt for each shard.
package budget
