package balance

import (
	"math"
	"time"
)

const (
	// alikeRatio is the factor over the lowest estimate up to which a replica is as good as the best one. It exceeds the
	// ratio of the speeds of a service's replicas, 0.8 to 1.3: a slower one gets fewer requests, not none. A replica with
	// two requests more in flight is beyond it.
	alikeRatio = 1.5
	// suspicionTime is the time constant with which one late reply loses its weight: replicas pause for 150 ms to
	// 250 ms and are slow for half a second to a second.
	suspicionTime = 500 * time.Millisecond
	// maxSuspicion bounds the weight of one late reply, so that a replica is tried again within a second.
	maxSuspicion = 8
)

// Candidate is a replica to which a request may be sent.
type Candidate struct {
	// Estimate is the expected time of the request there.
	Estimate time.Duration
	// Preferred reports whether the replica is in the host's own zone, fast and warm, so that it ranks before others
	// whatever its estimate.
	Preferred bool
	// Turn is its turn; the lowest goes first.
	Turn float64
}

// Choose returns the index of the candidate to use, where best is the one that ranks first: of those that are as good,
// the one whose turn it is.
//
// Estimates are as old as the last reply of a replica, and their differences are mostly noise. A host that takes the
// lowest estimate sends several requests in a row to the same replica, and so do the others. In turns, each replica
// gets its share by capacity after a few requests, however rarely the host sends. Hosts take turns in different orders,
// as they begin with the lowest of randomized estimates.
func Choose(list []Candidate, best int) int {
	chosen := best
	for i, c := range list {
		if c.Turn < list[chosen].Turn && c.Alike(list[best]) {
			chosen = i
		}
	}
	return chosen
}

// Alike reports whether the candidate is as good as the best one.
//
// Only preferred replicas take turns. Where none is, the replicas of the zone are slow or full, and turns would send
// requests to replicas that the measurements exclude.
func (c Candidate) Alike(best Candidate) bool {
	return c.Preferred && best.Preferred && float64(c.Estimate) <= alikeRatio*float64(best.Estimate)
}

// Suspicion returns the slowness that the newest reply of a replica suggests, where it took ratio times the usual time
// and came a while ago.
//
// A host that rarely sends to a replica can't wait for a second late reply: by then all hosts have sent it several
// requests, and it has recovered.
func Suspicion(ratio float64, age time.Duration) float64 {
	return min(ratio, maxSuspicion) * math.Exp(-float64(age)/float64(suspicionTime))
}
