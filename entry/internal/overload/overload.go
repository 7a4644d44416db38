package overload

import "time"

const (
	// refusalStart and refusalFull bound the ratio of the expected wait to the time for which a request can wait: up to
	// refusalStart no request is refused, from refusalFull on the chance of a refusal is highest. It grows linearly
	// between them, so that hosts refuse their parts of the excess without coordination and don't alternate between
	// refusing all requests and none.
	refusalStart, refusalFull = 0.45, 0.9
	// maxRefusalChance is the maximum chance of a refusal. The few requests that are admitted show when the queues have
	// drained; without them all hosts refuse until their measurements expire, and then all admit everything at once.
	maxRefusalChance = 0.95
	// manyDelayedShare is the share of delayed shards from which on only the route with the least time to wait counts.
	// It is below 1 since not all delayed shards show a delay at any moment. Where one or two are near their limit,
	// answers can do without them.
	manyDelayedShare = 0.5
	// RetryWaitShare and idleWaitShare are shares of the time for which a request can wait. A client that has waited
	// for at most RetryWaitShare counts as new; any other is admitted only while the expected wait is at most
	// idleWaitShare.
	RetryWaitShare, idleWaitShare = 0.25, 0.1
)

// Load describes a request and the queues that it meets.
type Load struct {
	// Delays holds the expected wait of an attempt for each shard, at the host and at the replica. Least is the number
	// of shards that have to answer.
	Delays []time.Duration
	Least  int
	// Spare is the time for which the request can wait and still be answered in time. LeastSpare is the lowest such
	// time of all routes to the shards.
	Spare, LeastSpare time.Duration
	// Waited is the time for which the client has already waited since an earlier refusal.
	Waited time.Duration
	// Draw is a random number between 0 and 1.
	Draw float64
	// Chance returns the chance of a refusal for a ratio of the expected wait to the time that it is compared to, and
	// whether nearly all requests are refused; nil means a chance that depends on the ratio alone.
	Chance func(ratio float64) (chance float64, crowded bool)
}

// Decision reports whether a request is admitted.
type Decision struct {
	// Refused is set if the request would not be answered in time, or would displace one that can be.
	Refused bool
	// Wait is the expected wait for the delayed shards, Bound the time that it was compared to, and Waited the time for
	// which the client had waited before.
	Wait, Bound, Waited time.Duration
	// Chance is the probability of a refusal.
	Chance float64
	// Crowded is set while nearly all requests are refused.
	Crowded bool
}

// Decide decides whether a request is admitted.
//
// It handles load above the capacity of the replicas of some or all shards. Each shard has its own queue, and shards
// that shed independently reject different requests: with one attempt in six shed at each of ten shards, half of the
// requests lack two parts, and the work of the other eight shards is lost. If a few shards are overloaded, requests
// wait for them until their deadline and fail. A request that is refused as a whole, before anything is sent, costs the
// replicas no work and its client no time.
//
// While all shards are delayed, the wait is compared to the time of the route that can wait least. With separate
// bounds, requests of the route that can wait longer would fill the queues so far that those of the other route are
// always late. While few shards are delayed, the wait is compared to the time of the request itself, since requests of
// the other routes can do without those shards.
//
// A client that retries after a refusal is admitted only while hardly any request waits. Under overload it would
// displace a request that can be answered in time and be late itself.
func Decide(l Load) Decision {
	wait := expectedWait(l.Delays, l.Least)
	spare := max(waitBound(l), time.Millisecond)
	ratio := float64(wait) / float64(spare)
	if l.Chance == nil {
		l.Chance = refusalChance
	}
	chance, crowded := l.Chance(ratio)
	if retry := float64(l.Waited) > RetryWaitShare*float64(spare); retry && ratio > idleWaitShare {
		chance = 1
	}
	return Decision{Wait: wait, Bound: spare, Waited: l.Waited, Chance: chance, Refused: chance > l.Draw, Crowded: crowded}
}

// refusalChance returns the chance of a refusal for a ratio of the expected wait to the time that it is compared to,
// and whether nearly all requests are refused.
func refusalChance(ratio float64) (chance float64, crowded bool) {
	chance = min(maxRefusalChance, max(0, (ratio-refusalStart)/(refusalFull-refusalStart)))
	return chance, chance >= maxRefusalChance
}

// waitBound returns the time that the wait is compared to. It changes linearly from the time of the request itself with
// no delayed shard to the least of all routes with a share of manyDelayedShare.
func waitBound(l Load) time.Duration {
	delayed := 0
	for _, d := range l.Delays {
		if d > 0 {
			delayed++
		}
	}
	part := min(1, float64(delayed)/(manyDelayedShare*float64(max(1, len(l.Delays)))))
	return l.Spare - time.Duration(part*float64(l.Spare-l.LeastSpare))
}

// expectedWait returns the expected wait for the delayed shards of a request for which least of all shards have to
// answer.
//
// Requests need only some of the delayed shards, since an answer may lack the others. If one of two delayed shards may
// be missing, each request uses the first one with free capacity, so that the effective length of their queues is half
// of the actual one.
func expectedWait(delays []time.Duration, least int) time.Duration {
	delayed, sum := 0, time.Duration(0)
	for _, d := range delays {
		if d > 0 {
			delayed++
			sum += d
		}
	}
	needed := delayed - (len(delays) - least)
	if needed <= 0 {
		return 0
	}
	mean := sum / time.Duration(delayed)
	return mean * time.Duration(needed) / time.Duration(delayed)
}
