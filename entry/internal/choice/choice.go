package choice

import (
	"time"

	"guavaspring.org/entry/internal/replica"
)

const (
	// unknownLatency stands for a replica that has not answered yet, so that it is tried but not flooded.
	unknownLatency = 5 * time.Millisecond
	// distinct is the least difference in cost that counts, as one part in distinct: more than the smoothed mean
	// of like replicas differs by chance, less than what one more running try makes. The availability zone
	// decides only below it, since the time that zones are apart is in the measured latency already.
	distinct = 4
	// window is how many holders are looked at; a shard with more is looked at from a random start.
	window = 8
)

// Verdict says what became of a choice.
type Verdict string

// The verdicts.
const (
	// Found means that a replica was chosen.
	Found Verdict = "found"
	// Busy means that every replica left is at this host's limit; one may be free soon.
	Busy Verdict = "busy"
	// None means that no replica is left.
	None Verdict = "none"
)

// Pick returns the better of two random holders that are not in tried.
//
// It answers load that is spread unevenly over the replicas of a shard, and replicas of unequal speed.
// Always taking the best-looking replica sends every query, and every host, to the same one at once; two
// random candidates avoid that herd. A replica's cost is what this host saw itself: the mean time of its
// answers or the age of the tries it runs, whichever is larger, for each try running and the new one. What
// a replica claims of its load is not used, since it lags or misleads. Replicas that are out are chosen
// only where no other holds the shard; replicas at their limit are not chosen at all.
func Pick(intN func(n int) int, now time.Time, holders, tried []*replica.Replica) (*replica.Replica, Verdict) {
	var list [window]*replica.Replica
	n, busy := candidates(intN, now, holders, tried, &list)
	switch n {
	case 0:
		if busy {
			return nil, Busy
		}
		return nil, None
	case 1:
		return list[0], Found
	}
	i := intN(n)
	j := intN(n - 1)
	if j >= i {
		j++
	}
	return better(list[i], list[j], now), Found
}

// Trial returns a holder that is out and due for a single try, or nil.
func Trial(now time.Time, holders []*replica.Replica) *replica.Replica {
	for _, r := range holders {
		if !r.Eject.In() && !r.Draining() && r.Running() == 0 && r.Eject.Trial(now) {
			return r
		}
	}
	return nil
}

// candidates fills list with the holders that may be chosen and reports whether any was left out for its limit. Holders
// that are out come in only where there is no other, limits aside.
func candidates(intN func(n int) int, now time.Time, holders, tried []*replica.Replica, list *[window]*replica.Replica) (n int, busy bool) {
	start := 0
	if len(holders) > window {
		start = intN(len(holders))
	}
	in := false
	for k := range min(len(holders), window) {
		r := holders[(start+k)%len(holders)]
		if r.Draining() || contains(tried, r) {
			continue
		}
		isIn := r.Eject.In()
		if in && !isIn {
			continue
		}
		if isIn && !in {
			in, n, busy = true, 0, false
		}
		if !r.Limit.Free(now, r.Running()) {
			busy = true
			continue
		}
		list[n] = r
		n++
	}
	return n, busy
}

// better returns a unless b is distinctly cheaper, or about as cheap and nearer. The candidates come in random
// order, so equals share the load. Were the least difference decisive, the replica with the luckiest last
// answers would get two thirds of a shard's tries from this host, and none would go to the unluckiest.
func better(a, b *replica.Replica, now time.Time) *replica.Replica {
	ca, cb := cost(a, now), cost(b, now)
	switch {
	case ca-ca/distinct > cb:
		return b
	case cb-cb/distinct > ca:
		return a
	case b.Near && !a.Near:
		return b
	default:
		return a
	}
}

func cost(r *replica.Replica, now time.Time) time.Duration {
	est, running := r.Estimate(now)
	if est == 0 {
		est = unknownLatency
	}
	return est * time.Duration(running+1)
}

func contains(list []*replica.Replica, r *replica.Replica) bool {
	for _, other := range list {
		if other == r {
			return true
		}
	}
	return false
}
