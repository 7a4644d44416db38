package pick

import (
	"time"
)

const (
	// queueWeight is the share by which each request that this host has in flight at a replica lengthens the expected
	// time of one more. A replica runs five requests at once and most hosts send to it, so one request of this host
	// stands for several.
	queueWeight = 0.35
	// crossZoneRTT is the round-trip time to another availability zone.
	crossZoneRTT = 2 * time.Millisecond
	// nearMaxSlowdown and nearMaxTimeShare bound the estimate up to which a replica in the own zone ranks first,
	// whatever the estimates of the others. nearMaxSlowdown is a multiple of the usual reply time: it excludes a
	// replica that is slow or overdue, though not one after a single pause. nearMaxTimeShare is a share of the time in
	// which the reply is of use: it leaves time for a second attempt. nearQueueLength is the number of requests of this
	// host in flight that counts as a queue there.
	nearMaxSlowdown  = 2.5
	nearMaxTimeShare = 0.4
	nearQueueLength  = 3
	// DecayTime is the time after which measurements of a replica's speed have lost two thirds of their weight. A
	// disruption lasts for seconds; a replica that was slow is selected again about as long after it.
	DecayTime = 3 * time.Second
	// jitter is the largest random addition to an estimate, as a share of it, so that hosts with the same measurements
	// don't all select the same replica.
	jitter = 0.2
	// failureCost is the cost of a failed attempt, as a multiple of the usual reply time: it has to be retried, from a
	// bounded budget.
	failureCost = 4
)

// Replica is the state of a replica as one host sees it at the time of a decision.
type Replica struct {
	// Running is the number of requests of this host in flight there.
	Running int
	// Slots is the number of requests it runs at once, zero if it has not reported it.
	Slots int
	// Oldest is the age of the oldest request of this host in flight there.
	Oldest time.Duration
	// Slowness is its reply time as a multiple of the usual one.
	Slowness float64
	// Queued is the number of requests of all hosts that wait there, as a multiple of its slots, zero if it does not
	// report it.
	Queued float64
	// Failures is the share of recent attempts, 0 to 1, that failed.
	Failures float64
	// Near reports whether it is in the host's own availability zone.
	Near bool
	// Cold reports whether it has just started and is still slow.
	Cold bool
	// Turn is its turn among replicas that are as good; the lowest goes first.
	Turn float64
	// Suspected is the slowness that its newest reply suggests if that was late, else zero.
	Suspected float64
	// Reports reports whether it reports its load.
	Reports bool
}

// coldSlowness is the lowest Slowness that is assumed of a cold replica.
const coldSlowness = 1.6

// Estimate returns the expected reply time of a request at the replica. usual is the reply time of a healthy replica,
// draw a random number between 0 and 1.
//
// Replicas may pause for a quarter of a second, or be ten times slower for a while. The age of the requests in flight
// shows it first, before any reply does.
func Estimate(r Replica, usual time.Duration, draw float64) time.Duration {
	slow := max(r.Slowness, 0.5)
	if r.Cold {
		slow = max(slow, coldSlowness)
	}
	t := time.Duration(float64(usual) * slow * (1 + queueWeight*float64(r.Running) + r.Queued))
	// An overdue request counts more than earlier replies: a new one would wait behind it.
	if overdue := time.Duration(2 * float64(usual) * slow); r.Oldest > overdue {
		t = max(t, 2*r.Oldest)
	}
	t += time.Duration(float64(usual) * failureCost * r.Failures)
	if !r.Near {
		t += crossZoneRTT
	}
	return t + time.Duration(float64(t)*jitter*draw)
}

// Need holds the time limits of a request.
type Need struct {
	// Usual is the reply time of a healthy replica, Within the time in which the reply is of use.
	Usual, Within time.Duration
	// Queues reports whether requests may queue at the replicas, so that the usual time includes a wait.
	Queues bool
}

// Before reports whether replica a, with its estimate, ranks before replica b, with otherEstimate. A replica in the
// host's own zone that is fast enough ranks first, then the one with the lower estimate.
//
// Traffic between zones is billed, and makes up most of the traffic of a query over many shards. A price added to the
// estimate doesn't avoid it: one or two requests in flight and the random part outweigh the price, so that most replies
// still come from other zones. Where requests queue at the replicas, the lowest estimate ranks first: an answer in time
// is worth more than the saved traffic.
func (n Need) Before(a Replica, estimate time.Duration, b Replica, otherEstimate time.Duration) bool {
	if near := n.Prefers(a, estimate); near != n.Prefers(b, otherEstimate) {
		return near
	}
	return estimate < otherEstimate
}

// Prefers reports whether a replica ranks first since it is in the own zone and fast enough.
func (n Need) Prefers(r Replica, estimate time.Duration) bool {
	return !n.Queues && r.Near && !r.Cold && r.Running < nearQueueLength && estimate <= min(time.Duration(nearMaxSlowdown*float64(n.Usual)), time.Duration(nearMaxTimeShare*float64(n.Within)))
}
