package events

import "guavaspring.org/core/event"

// Events of routing, 1700 to 1799.
var (
	SnapshotMoved   = event.New(1700, "snapshot_moved", "The queries of a service are pinned to another index version or shard map from now on.")
	Missed          = event.New(1701, "shard_missed", "A shard of a query was given up; the answer names it as missing.")
	Replanned       = event.New(1702, "query_replanned", "A query was started again on another version, since replicas no longer hold the one it was pinned to.")
	ReplicaDraining = event.New(1703, "replica_draining", "A replica is leaving: this host sends it no new try from now on.")
	ReplicaEjected  = event.New(1704, "replica_ejected", "A replica was slow or failing beside others of its shard: it gets single tries only, until one is answered in good time.")
	ReplicaRestored = event.New(1705, "replica_restored", "A replica that got single tries only is used again.")
	ReplicaTried    = event.New(1706, "replica_tried", "A replica that is out got a single try beside an ordinary one.")
	ShardWaited     = event.New(1707, "shard_waited", "A shard of a query waited, since each of its replicas ran as many tries of this host as it may.")
	ListDoubted     = event.New(1708, "replica_list_doubted", "The platform's list omitted more than half of a service's live replicas; those that still answer are kept.")
)
