package subquery

import (
	"time"

	"guavaspring.org/core/opaque"
	"guavaspring.org/core/upstream"
)

// Args asks a host for one try of each of some shards.
type Args struct {
	// Job names the subquery among those of all hosts.
	Job uint64
	// Version is the configuration in force where the query came; a host with another one in force declines, since it
	// could send the request to shards that its own replicas have seen the end of.
	Version int64
	Request opaque.Request
	Shards  []string
	// Top is how many records the whole answer holds.
	Top int
	// Left is how long the replicas may work, First how long the first reply may wait for all parts, and Within the
	// time in which a part is of use.
	Left, First, Within time.Duration
	// Usual and Unloaded are the times of the route's replies, in all and while nothing queues.
	Usual, Unloaded time.Duration
	// Homes are the regions in which alone the request may run; none means any.
	Homes []string
	// Fingerprint names the request by its content.
	Fingerprint string
}

// RestArgs asks for the parts of a subquery that were pending, within a time.
type RestArgs struct {
	Job  uint64
	Wait time.Duration
}

// DropArgs ends a subquery whose answer nobody waits for.
type DropArgs struct{ Job uint64 }

// Reply holds what became of shards since the last reply, by their places in Args.
type Reply struct {
	// Declined says why nothing was sent; it is empty where the tries were.
	Declined string
	// Forgotten says that the subquery whose rest was asked for has ended here, and that nothing more is known of it.
	Forgotten bool
	Parts     []Part
	// Records are the greatest records of all Parts of the first reply; those of later replies carry their own.
	Records []byte
	Failed  []Failure
	Pending []Pending
}

// Part is a shard whose replica answered.
type Part struct {
	Shard int
	Stamp string
	// Took is how long the replica took.
	Took time.Duration
	// Body is empty in a first reply.
	Body []byte
}

// Failure is a shard whose try brought no part.
type Failure struct {
	Shard   int
	Replica string
	Kind    upstream.Kind
	Detail  string
	Took    time.Duration
}

// Pending is a shard whose try is still under way.
type Pending struct {
	Shard   int
	Replica string
}
