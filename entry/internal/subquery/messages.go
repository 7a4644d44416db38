package subquery

import (
	"time"

	"guavaspring.org/core/opaque"
	"guavaspring.org/core/upstream"
)

// Args requests one attempt for each listed shard.
type Args struct {
	// Job identifies the subquery across all hosts.
	Job uint64
	// Version is the version of the configuration in force at the host that received the query. A host with another
	// version declines, because the request could go to shards that its own configuration no longer has.
	Version int64
	Request opaque.Request
	Shards  []string
	// Top is the number of records in the whole response.
	Top int
	// Left is the time until the deadline of the attempts, First the longest wait of the first reply for all parts, and
	// Within the time in which a part is still useful to the query.
	Left, First, Within time.Duration
	// Usual and Unloaded are the route's usual reply times, overall and without queueing.
	Usual, Unloaded time.Duration
	// Homes are the only regions in which the request may run; empty means any.
	Homes []string
	// Fingerprint identifies the request by its content; the quarantine uses it.
	Fingerprint string
}

// RestArgs requests the pending parts of a subquery and limits the wait for them.
type RestArgs struct {
	Job  uint64
	Wait time.Duration
}

// DropArgs cancels a subquery whose response is no longer needed.
type DropArgs struct{ Job uint64 }

// Reply holds the results of shards since the last reply. Shards are given by their index in Args.Shards.
type Reply struct {
	// Declined is the reason why no attempt was sent, empty if the attempts were sent.
	Declined string
	// Forgotten reports that the subquery has already ended on this host and its remaining results are lost.
	Forgotten bool
	Parts     []Part
	// Records are the top records of all Parts of a first reply. In later replies each part carries its own.
	Records []byte
	Failed  []Failure
	Pending []Pending
}

// Part is the result of a shard whose replica replied successfully.
type Part struct {
	Shard int
	Stamp string
	// Took is the response time of the replica.
	Took time.Duration
	// LateID is the id of the earlier request whose late reply was discarded before this one, empty if there was none.
	LateID string
	// Body is empty in a first reply.
	Body []byte
}

// Failure is the result of a shard whose attempt failed.
type Failure struct {
	Shard   int
	Replica string
	Kind    upstream.Kind
	Detail  string
	Took    time.Duration
	// LateID is the id of the earlier request whose late reply was discarded before the failure, empty if there was none.
	LateID string
}

// Pending is a shard whose attempt is still in flight.
type Pending struct {
	Shard   int
	Replica string
}
