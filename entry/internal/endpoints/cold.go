package endpoints

import (
	"slices"
	"time"

	"guavaspring.org/core/route"
)

// coldWindow is the time over which requests to a cold replica are counted: the second for which the limit holds, and
// the time for which one of them may wait for a connection.
const coldWindow = 1300 * time.Millisecond

// tooCold is the failure detail of a request that would exceed the limit of a cold replica.
const tooCold = "the replica is cold and has got what it bears of this host"

// cold holds the limits of a service's replicas while they are cold.
type cold struct {
	// lasts is how long a replica stays cold.
	lasts time.Duration
	// perSecond is the maximum number of requests per second, zero for no limit.
	perSecond float64
}

func coldOf(s route.Service) *cold { return &cold{lasts: s.ColdFor, perSecond: s.ColdPerSecond} }

// noteRow updates the end of the cold period from the row. A replica may become cold again at any time, for example
// after its zone was evacuated: it is slow then although all its measured replies were fast.
func (r *Replica) noteRow(now time.Time) {
	if r.row.Cold > 0 {
		r.coldEnd = now.Add(r.row.Cold)
	}
}

// noteEvacuation marks the replica cold if its zone was released: its row may say so only a heartbeat later, and
// sending a zone its full share at once makes all its replicas crash.
func (r *Replica) noteEvacuation(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.spared
	r.spared = r.evacuated(r.row.Zone)
	if was && !r.spared {
		r.coldEnd = now.Add(r.service.cold.Load().lasts)
	}
}

// bearsCold reports whether this host may send one more request to a cold replica.
func (r *Replica) bearsCold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roomCold(now)
}

// takeCold counts a request that is about to be sent, and reports whether the limit allows it; a warm replica has none.
func (r *Replica) takeCold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.coldEnd) {
		r.coldSent = nil
		return true
	}
	if !r.roomCold(now) {
		return false
	}
	if r.service.cold.Load().perSecond > 0 {
		r.coldSent = append(r.coldSent, now)
	}
	return true
}

// roomCold reports whether the limit of a cold replica, whose lock is held, allows one more request.
func (r *Replica) roomCold(now time.Time) bool {
	bears := r.service.cold.Load().perSecond
	if bears <= 0 {
		return true
	}
	r.coldSent = slices.DeleteFunc(r.coldSent, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(r.coldSent) < r.coldShare(r.row.ID, bears)
}
