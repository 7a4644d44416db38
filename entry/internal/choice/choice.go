package choice

import (
	"time"

	"guavaspring.org/entry/internal/replica"
)

// unknownLatency stands for a replica that has not answered yet, so that it is tried but not flooded.
const unknownLatency = 5 * time.Millisecond

// Pick returns the better of two random holders that are not in tried, or nil where none is left.
//
// It answers load that is spread unevenly over the replicas of a shard. Always taking the best-looking
// replica sends every host to the same one at once; two random candidates avoid that herd.
func Pick(intN func(n int) int, holders []*replica.Replica, tried []*replica.Replica) *replica.Replica {
	first := draw(intN, holders, tried, nil)
	if first == nil {
		return nil
	}
	second := draw(intN, holders, tried, first)
	if second == nil || cost(first) <= cost(second) {
		return first
	}
	return second
}

func cost(r *replica.Replica) time.Duration {
	lat := r.Latency()
	if lat == 0 {
		lat = unknownLatency
	}
	return lat * time.Duration(r.Running()+1)
}

func draw(intN func(n int) int, holders, tried []*replica.Replica, but *replica.Replica) *replica.Replica {
	start := intN(max(1, len(holders)))
	for i := range holders {
		r := holders[(start+i)%len(holders)]
		if r != but && !contains(tried, r) && !r.Draining() {
			return r
		}
	}
	return nil
}

func contains(list []*replica.Replica, r *replica.Replica) bool {
	for _, other := range list {
		if other == r {
			return true
		}
	}
	return false
}
