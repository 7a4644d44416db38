package events

import "guavaspring.org/core/event"

// Events of routing, 1700 to 1799.
var (
	SnapshotMoved   = event.New(1700, "snapshot_moved", "The queries of a service are pinned to another index version or shard map from now on.")
	Missed          = event.New(1701, "shard_missed", "A shard of a query was given up; the answer names it as missing.")
	Replanned       = event.New(1702, "query_replanned", "A query was started again on another version, since replicas no longer hold the one it was pinned to.")
	ReplicaDraining = event.New(1703, "replica_draining", "A replica is leaving: this host sends it no new try from now on.")
)
