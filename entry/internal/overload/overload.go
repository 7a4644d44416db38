package overload

import "time"

const (
	// free is the share of the time that a request could wait which the tries before it may take without any being
	// refused, and full the share at which all are. Between them the chance of a refusal grows evenly, so that hosts
	// which know nothing of each other refuse their parts of what is too much, and nobody waits for a host that refuses
	// all and then none.
	free, full = 0.45, 0.9
	// most is the greatest chance. The few that are let in tell when the queues are gone; without them all hosts wait
	// until what they know is too old, and then all let everything in at once.
	most = 0.95
	// manyBehind is the share of the shards that are behind from which on the least patient route counts alone. Of
	// those that are, not all show it at any moment; and where one or two are near their limit the others can do
	// without them.
	manyBehind = 0.5
	// again is the share of the time that a request could wait within which a client that has waited before counts as
	// coming for the first time, and quiet the share that tries before it may take where it doesn't.
	again, quiet = 0.25, 0.1
)

// Load is what is known where a request comes.
type Load struct {
	// Delays are how long a try of each shard is expected to wait for room, at the host and at the replica; Least of
	// them have to answer.
	Delays []time.Duration
	Least  int
	// Spare is how long the request may wait there for its answer to be in time, and LeastSpare how long one of any
	// route to the shards may.
	Spare, LeastSpare time.Duration
	// Waited is how long the client has waited already, since it was refused before.
	Waited time.Duration
	// Draw is a random number between 0 and 1.
	Draw float64
}

// Decision says whether a request is let in.
type Decision struct {
	// Refused says that the request would not be answered in time, or that its place is needed for one that would.
	Refused bool
	// Wait is how long the request is expected to wait for the shards that are behind, Bound the time that this was
	// held against, and Waited how long its client had waited before it came.
	Wait, Bound, Waited time.Duration
	// Chance is the chance with which it was refused.
	Chance float64
	// Crowded says that nearly all requests are refused.
	Crowded bool
}

// Decide decides about a request.
//
// It answers more load than the replicas of some or all shards can do. Each shard has its own queue, and left alone
// each turns other requests away: with one try in six turned away at each of ten shards, half of the pages lack two
// parts, and all the work of their other eight is lost. With a few short shards, requests wait for them to their
// deadline and fail. One that is turned away as a whole, before anything is sent, costs the replicas nothing and its
// client no time.
//
// Where all shards are behind, the wait is held against the route that can wait least: with a bound of its own, the
// patient kind of request would fill the queues up to that, at which the other kind is always late. Where few are, each
// request is held against its own time, as the others can do without those.
//
// Who was refused and comes back is let in where nothing waits. While more comes than can be done, each place that it
// gets is taken from one that would be answered in time; it would not.
func Decide(l Load) Decision {
	wait := expected(l.Delays, l.Least)
	spare := max(bound(l), time.Millisecond)
	x := float64(wait) / float64(spare)
	chance := min(most, max(0, (x-free)/(full-free)))
	crowded := chance >= most
	if back := float64(l.Waited) > again*float64(spare); back && x > quiet {
		chance = 1
	}
	return Decision{Wait: wait, Bound: spare, Waited: l.Waited, Chance: chance, Refused: chance > l.Draw, Crowded: crowded}
}

// bound returns the time that the wait is held against: the request's own where few shards are behind, and the least of
// all routes where manyBehind are.
func bound(l Load) time.Duration {
	behind := 0
	for _, d := range l.Delays {
		if d > 0 {
			behind++
		}
	}
	part := min(1, float64(behind)/(manyBehind*float64(max(1, len(l.Delays)))))
	return l.Spare - time.Duration(part*float64(l.Spare-l.LeastSpare))
}

// expected returns how long a request is expected to wait for the shards that are behind, where least of all have to
// answer.
//
// All that wait for the shards that are behind need only some of them, as an answer may lack the others: of two short
// shards of which one may be missing, each request takes the first that has room, so that their queues are half as long
// as they look.
func expected(delays []time.Duration, least int) time.Duration {
	behind, sum := 0, time.Duration(0)
	for _, d := range delays {
		if d > 0 {
			behind++
			sum += d
		}
	}
	needed := behind - (len(delays) - least)
	if needed <= 0 {
		return 0
	}
	mean := sum / time.Duration(behind)
	return mean * time.Duration(needed) / time.Duration(behind)
}
