package events

import "guavaspring.org/core/event"

// Events of routing, 1700 to 1799.
var (
	SnapshotMoved      = event.New(1700, "snapshot_moved", "New queries of a service are pinned to another index version or shard map.")
	Missed             = event.New(1701, "shard_missed", "A shard of a query was given up; the response lists it as missing.")
	Replanned          = event.New(1702, "query_replanned", "A query was restarted on another version, since replicas no longer hold the one it was pinned to.")
	ReplicaDraining    = event.New(1703, "replica_draining", "A replica is draining: this host sends it no new attempts.")
	ReplicaEjected     = event.New(1704, "replica_ejected", "A replica was ejected, as it was slow or failing compared with the others of its shard: it gets only single probes until it answers one in good time.")
	ReplicaRestored    = event.New(1705, "replica_restored", "An ejected replica is in rotation again.")
	ReplicaProbed      = event.New(1706, "replica_tried", "An ejected replica got a probe beside an ordinary attempt.")
	ShardWaited        = event.New(1707, "shard_waited", "A shard of a query waited, since each of its replicas had as many requests of this host in flight as allowed.")
	PartialListIgnored = event.New(1708, "replica_list_doubted", "The platform's list omitted more than half of a service's live replicas; those that still answer are kept.")
)
