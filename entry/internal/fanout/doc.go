// Package fanout runs one query over every shard of its snapshot and merges what comes back in time.
package fanout
