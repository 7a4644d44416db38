package pick

import (
	"time"
)

const (
	// queueWeight is how much each request of this host that runs at a replica lengthens the expected time of one more.
	// A replica runs five at once and most hosts send to it, so one of this host's stands for several.
	queueWeight = 0.35
	// zoneDelay is what the way to another availability zone and back takes.
	zoneDelay = 2 * time.Millisecond
	// nearTimes and nearPart bound the expected time at which the replica in the own zone goes first whatever the
	// others would take: in times of the usual reply, which leaves out a replica that is slow or overdue, though not
	// one after a single pause, and as a part of the time in which the reply is of use, which leaves room for a second
	// try. nearRunning is how many requests of this host make a queue there.
	nearTimes   = 2.5
	nearPart    = 0.4
	nearRunning = 3
	// Forget is the time in which what was learned of a replica's speed loses two thirds of its weight. A disruption
	// lasts for seconds; a replica that was slow is tried again about as long after.
	Forget = 3 * time.Second
	// spread is the random part of an estimate, so that hosts that know the same don't all choose the same replica.
	spread = 0.2
	// failureCost is what a failed try costs in times of a usual reply: it has to be sent again, from a bounded budget.
	failureCost = 4
)

// Replica is what one host knows of a replica at the time of a decision.
type Replica struct {
	// Running is how many requests of this host it works on.
	Running int
	// Slots is how many requests it runs at once, zero where it didn't say.
	Slots int
	// Oldest is the age of the oldest of them.
	Oldest time.Duration
	// Slowness is how many times longer than usual its replies take.
	Slowness float64
	// Queued is how many requests of all hosts wait there, in times of its slots, zero where it doesn't say.
	Queued float64
	// Failures is the share of late tries, 0 to 1, that failed.
	Failures float64
	// Near says that it is in the host's own availability zone.
	Near bool
	// Cold says that it has just started and is still slow.
	Cold bool
}

// coldSlowness stands for a replica that has just started and has not answered this host yet.
const coldSlowness = 1.6

// Estimate returns how long a request is expected to take at the replica, where usual is the time at a healthy one and
// draw a random number between 0 and 1.
//
// It answers replicas that pause for a quarter of a second, or are ten times slower for a while: what is under way
// there and has not come back is the first sign, before any reply could show it.
func Estimate(r Replica, usual time.Duration, draw float64) time.Duration {
	slow := max(r.Slowness, 0.5)
	if r.Cold {
		slow = max(slow, coldSlowness)
	}
	t := time.Duration(float64(usual) * slow * (1 + queueWeight*float64(r.Running) + r.Queued))
	// A request that is overdue says more than the replies before it: this one would wait behind it.
	if overdue := time.Duration(2 * float64(usual) * slow); r.Oldest > overdue {
		t = max(t, 2*r.Oldest)
	}
	t += time.Duration(float64(usual) * failureCost * r.Failures)
	if !r.Near {
		t += zoneDelay
	}
	return t + time.Duration(float64(t)*spread*draw)
}

// Need is what a request asks of the replica.
type Need struct {
	// Usual is the time that a healthy replica takes, Within the time in which the reply is of use.
	Usual, Within time.Duration
	// Queues says that the replicas may have queues, so that the usual time holds a wait.
	Queues bool
}

// Before reports whether a replica with an estimate goes before another one: the quicker one, and before all others one
// in the host's own zone that is quick enough.
//
// It answers the bytes between zones, which are paid for, and are most of what a page over many shards moves. A price
// that is added to the estimate is outweighed by a request or two under way and the random part of it, so that most
// parts come from elsewhere all the same. Where replicas have queues the shortest one goes first: whether a request is
// answered in time is worth more than the bytes.
func (n Need) Before(a Replica, estimate time.Duration, b Replica, other time.Duration) bool {
	if near := n.nearEnough(a, estimate); near != n.nearEnough(b, other) {
		return near
	}
	return estimate < other
}

func (n Need) nearEnough(r Replica, estimate time.Duration) bool {
	return !n.Queues && r.Near && !r.Cold && r.Running < nearRunning && estimate <= min(time.Duration(nearTimes*float64(n.Usual)), time.Duration(nearPart*float64(n.Within)))
}
