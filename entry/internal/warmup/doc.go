// Package warmup delays the opening of the callers' port of a starting host until it can answer queries.
package warmup
