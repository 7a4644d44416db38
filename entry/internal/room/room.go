package room

import "math"

const (
	// depth is how many requests all hosts together may have at a replica that may have a queue, in times of what it runs at once: what runs, and as
	// much again that is there when a slot becomes free. More only makes the replica's queue longer, which keeps no order.
	depth = 2
	// loose is the part of a replica's slots that one host may fill while nothing queues. Requests come by chance: of 15 hosts that each may have
	// one request at a replica of 7 slots, which has three quarters of one to do, each finds the one in its own zone taken for every
	// fourth try, and sends it elsewhere or lets it wait.
	loose = 0.5
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

// Most returns how many requests a host may have at a replica that says that it runs a number of them at once; part is the part of all requests that the
// host sends, and queues says that the replicas may have queues.
//
// It answers two loads. Where more comes than the replicas can do, the hosts together must not fill the replicas' queues: each takes its
// part. Where little comes, a part of less than one request would divide what nobody uses.
func Most(said int, part float64, queues bool) int {
	slots := float64(Slots(said))
	most := max(1, math.Ceil(depth*slots*part))
	if !queues {
		most = max(most, math.Ceil(loose*slots))
	}
	return int(most)
}
