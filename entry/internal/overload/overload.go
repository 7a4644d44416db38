package overload

import (
	"slices"
	"time"
)

const (
	// part is the share of the time that a request could wait which the tries before it may take. What waits longer comes back just in
	// time, and the next pause of a replica makes it late. At four times the usual load, parts of 0.35, 0.5 and 0.75 served
	// requests worth 0.742, 0.731 and 0.713 of what was owed; under a load that only some shards can't take they are alike.
	part = 0.35
	// fewPart is the share of the shards that may be behind, beside those that an answer may lack, before requests are refused. Two or three
	// short shards are left to their queues, which serve the newest first: refused for these, pages that would have had enough
	// parts were lost (0.734 of what was owed, 0.753 without refusals, 0.750 with this).
	fewPart = 0.25
)

// Decision says whether a request is let in.
type Decision struct {
	// Refused says that the request would not be answered in time.
	Refused bool
	// Wait is how long the shards are behind.
	Wait time.Duration
}

// Decide decides about a request over shards of which least have to answer, where delays are how long a try of each shard is expected to
// wait for room, and spare is how long it may wait there for its answer to be in time.
//
// It answers more load than the replicas of many shards can do. Each shard has its own queue, and left alone each turns other
// requests away: with one try in six turned away at each of ten shards, half of the pages lack two parts, and all the
// work of their other eight is lost. A request that is turned away as a whole costs the replicas nothing.
func Decide(delays []time.Duration, least int, spare time.Duration) Decision {
	sorted := slices.Clone(delays)
	slices.Sort(sorted)
	few := int(fewPart * float64(len(sorted)))
	wait := sorted[max(0, least-1-few)]
	return Decision{Wait: wait, Refused: wait > 0 && wait > time.Duration(part*float64(max(0, spare)))}
}
