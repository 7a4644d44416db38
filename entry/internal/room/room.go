package room

import "math"

const (
	// depth is how many requests all hosts together may have at a replica that may have a queue, in times of what it
	// runs at once: what runs, and as much again that is there when a slot becomes free. More only makes the replica's
	// queue longer, which keeps no order.
	depth = 2
	// idle is how much of what the replicas run at once is in use, as a part, below which a host may have one request
	// more than its part.
	idle = 0.5
	// defaultSlots stands in for a replica that does not say how many requests it runs at once.
	defaultSlots = 4
)

// Slots returns how many requests a replica runs at once that says so, or doesn't.
func Slots(said int) int {
	if said <= 0 {
		return defaultSlots
	}
	return said
}

// Most returns how many requests a host may have at a replica that says that it runs a number of them at once; part is
// the part of all requests that the host sends, and use how much of what the replicas of the service run at once is in
// use.
//
// It answers two loads. Where more comes than the replicas can do, the hosts together must not fill the replicas'
// queues: each takes its part. Where little comes, a part of less than one request would divide what nobody uses: of 15
// hosts that may have one request each at a replica of 7 slots, which has three quarters of one to do, each finds the
// near one taken for every fourth try. One more is allowed at low use alone: where the replicas are just enough it
// would fill their queues.
func Most(said int, part, use float64) int {
	most := max(1, math.Ceil(depth*float64(Slots(said))*part))
	if use < idle {
		most++
	}
	return int(most)
}
