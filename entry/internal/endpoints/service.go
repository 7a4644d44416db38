package endpoints

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavaspring.org/entry/internal/pick"
	"guavaspring.org/entry/internal/spend"
)

// Verdict says how a choice ended.
type Verdict string

// The ways in which a choice ends.
const (
	// Found means that a replica was chosen.
	Found Verdict = "found"
	// Busy means that every replica left holds as many connections of this host as it may.
	Busy Verdict = "busy"
	// None means that no replica is left that may be used.
	None Verdict = "none"
)

// Service is one service's replicas and its budget of extra tries.
type Service struct {
	Name   string
	Budget *spend.Budget
	queue
	list atomic.Pointer[[]*Replica]
	// conns is the most connections that this host may hold to each replica.
	conns atomic.Int64
	// part returns which part of all requests this host sends.
	part func() float64
	load load
}

// load is how busy this host keeps the replicas of a service.
type load struct {
	mu sync.Mutex
	// running counts the tries under way, took is how long the late ones took.
	running int
	took    time.Duration
}

// tookWeight is the weight of the newest try in the mean time of a service's tries: one in a hundred takes five times as long, and must not
// double what all others are expected to wait.
const tookWeight = 1.0 / 16

func (l *load) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
}

func (l *load) end(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if l.took == 0 {
		l.took = took
	}
	l.took += time.Duration(tookWeight * float64(took-l.took))
}

// Delay returns how long a try that comes now is expected to wait for room: as long as those that wait already take to be sent, where as
// many run at once as do now.
func (s *Service) Delay() time.Duration {
	waiting := s.Waiting()
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	return time.Duration(waiting) * s.load.took / time.Duration(max(1, s.load.running))
}

const (
	// depth is how many requests all hosts together may have at a replica, in times of what it runs at once: what runs, and as much again
	// that is there when a slot becomes free. More only makes the replica's queue longer, which keeps no order.
	depth = 2
	// defaultSlots stands in for a replica that does not say how many requests it runs at once.
	defaultSlots = 4
)

// share returns how many requests this host may have at a replica that runs a number of them at once.
func (s *Service) share(slots int) int {
	if slots <= 0 {
		slots = defaultSlots
	}
	return max(1, int(math.Ceil(depth*float64(slots)*s.part())))
}

// Connections returns the most connections that this host may hold to each replica.
func (s *Service) Connections() int { return int(s.conns.Load()) }

// Replicas returns the replicas that are listed; the slice must not be changed.
func (s *Service) Replicas() []*Replica { return *s.list.Load() }

// Need is what a request asks of a choice.
type Need struct {
	// Usual is the time that a healthy replica takes, Within the time in which the reply is of full use.
	Usual, Within time.Duration
	// Tried holds the replicas that had a try of the request.
	Tried []*Replica
}

// Choice is a replica that was chosen, with what decided it.
type Choice struct {
	Replica *Replica
	// Estimate is how long a request there is expected to take.
	Estimate time.Duration
	// Seen is what was known of the replica.
	Seen pick.Replica
}

// Pick returns the replica with the least estimate among those that were not tried.
//
// One that has room but is too slow to be of use is passed over while another is only full: a try there would take one
// of the few that a request has, where a short wait brings a better one.
func (s *Service) Pick(now time.Time, need Need, draw func() float64) (Choice, Verdict) {
	var best, rested Choice
	busy := time.Duration(-1)
	for _, r := range s.Replicas() {
		if slices.Contains(need.Tried, r) {
			continue
		}
		v, resting, usable := r.view(now)
		if !usable {
			continue
		}
		t := pick.Estimate(v, need.Usual, draw())
		switch {
		case v.Running >= s.share(v.Slots) || !r.pool.Free(s.Connections()):
			if busy < 0 || t < busy {
				busy = t
			}
		case resting:
			rested.offer(r, t, v)
		default:
			best.offer(r, t, v)
		}
	}
	if best.Replica == nil {
		// One that could not be reached a moment ago is better than none.
		best = rested
	}
	switch {
	case best.Replica == nil && busy < 0:
		return Choice{}, None
	case best.Replica == nil, best.Estimate > need.Within && busy >= 0 && busy <= need.Within:
		return Choice{}, Busy
	}
	return best, Found
}

func (c *Choice) offer(r *Replica, t time.Duration, seen pick.Replica) {
	if c.Replica == nil || t < c.Estimate {
		c.Replica, c.Estimate, c.Seen = r, t, seen
	}
}

// Running returns how many requests of this host are under way at the replicas.
func (s *Service) Running() int {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	return s.load.running
}
