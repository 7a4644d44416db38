package choice

import (
	"time"

	"guavaspring.org/entry/internal/replica"
)

const (
	// unknownLatency is the assumed latency of a replica that has not answered yet. It is low enough that the replica
	// is selected and high enough that it is not flooded.
	unknownLatency = 5 * time.Millisecond
	// costMarginDivisor sets the smallest cost difference that counts: 1/costMarginDivisor of the higher cost. That is
	// more than the smoothed means of equal replicas differ by chance, and less than the effect of one more attempt in
	// flight. The availability zone decides only below it, since the measured latency already includes the delay
	// between zones.
	costMarginDivisor = 4
	// maxCandidates is the number of replicas considered. For a shard with more, they are taken from a random start.
	maxCandidates = 8
)

// Outcome is the outcome of a selection.
type Outcome string

// The outcomes of a selection.
const (
	// Found means that a replica was chosen.
	Found Outcome = "found"
	// Busy means that every remaining replica is at this host's concurrency limit; one may become free soon.
	Busy Outcome = "busy"
	// None means that no replica remains.
	None Outcome = "none"
)

// Pick returns the cheaper of two random replicas of a shard that are not in tried.
//
// It balances uneven load and replicas of unequal speed. Selecting the cheapest of all replicas would send the queries
// of every host to the same replica at once; two random candidates avoid this herd effect. The cost of a replica is
// its mean latency or the age of its attempts in flight, whichever is larger, times the number of attempts in flight
// including the new one. Only measurements of this host count: the load that a replica reports lags or misleads.
// Ejected replicas are selected only if no other replica holds the shard, replicas at their limit never.
func Pick(intN func(n int) int, now time.Time, replicas, tried []*replica.Replica) (*replica.Replica, Outcome) {
	var list [maxCandidates]*replica.Replica
	n, busy := candidates(intN, now, replicas, tried, &list)
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

// Trial returns an ejected replica that is due for a probe, or nil.
func Trial(now time.Time, replicas []*replica.Replica) *replica.Replica {
	for _, r := range replicas {
		if !r.Eject.InRotation() && !r.Draining() && r.Running() == 0 && r.Eject.ClaimProbe(now) {
			return r
		}
	}
	return nil
}

// candidates fills list with the replicas that may be selected and reports whether any was left out because of its
// limit. Ejected replicas are candidates only if there is no other, whether or not the others are at their limit.
func candidates(intN func(n int) int, now time.Time, replicas, tried []*replica.Replica, list *[maxCandidates]*replica.Replica) (n int, busy bool) {
	start := 0
	if len(replicas) > maxCandidates {
		start = intN(len(replicas))
	}
	anyHealthy := false
	for k := range min(len(replicas), maxCandidates) {
		r := replicas[(start+k)%len(replicas)]
		if r.Draining() || contains(tried, r) {
			continue
		}
		healthy := r.Eject.InRotation()
		if anyHealthy && !healthy {
			continue
		}
		if healthy && !anyHealthy {
			anyHealthy, n, busy = true, 0, false
		}
		if !r.Limit.Allows(now, r.Running()) {
			busy = true
			continue
		}
		list[n] = r
		n++
	}
	return n, busy
}

// better returns a unless b is clearly cheaper, or about as cheap and in the own zone. The candidates come in random
// order, so equal replicas share the load. If any difference decided, the replica whose last replies happened to be
// quickest would get two thirds of the shard's attempts from this host, and the one with the slowest last replies none.
func better(a, b *replica.Replica, now time.Time) *replica.Replica {
	ca, cb := cost(a, now), cost(b, now)
	switch {
	case ca-ca/costMarginDivisor > cb:
		return b
	case cb-cb/costMarginDivisor > ca:
		return a
	case b.Near && !a.Near:
		return b
	default:
		return a
	}
}

// cost returns the expected latency of one more attempt, scaled by the attempts in flight.
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
