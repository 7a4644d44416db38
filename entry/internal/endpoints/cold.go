package endpoints

import (
	"slices"
	"time"

	"guavaspring.org/core/route"
)

// coldWindow is the time over which the requests to a cold replica are counted: the second for which its bound holds,
// and the time that one of them may wait for a connection.
const coldWindow = 1300 * time.Millisecond

// tooCold is why a request was not sent that would have been too much for a cold replica.
const tooCold = "the replica is cold and has got what it bears of this host"

// cold is what a service's replicas bear while they are cold.
type cold struct {
	// lasts is how long a replica is cold.
	lasts time.Duration
	// perSecond is how many requests a second it bears, zero for as many as a warm one.
	perSecond float64
}

func coldOf(s route.Service) *cold { return &cold{lasts: s.ColdFor, perSecond: s.ColdPerSecond} }

// noteRow takes over from the row how long the replica stays cold. That may begin anew at any time, as when its zone
// was evacuated for a while: it is slow then, though all that this host has seen of it was quick.
func (r *Replica) noteRow(now time.Time) {
	if r.row.Cold > 0 {
		r.coldEnd = now.Add(r.row.Cold)
	}
}

// noteEvacuation takes the replica for cold where its zone was released: its row may say so only a heartbeat later, and
// a zone's share of the requests that comes at once lets all its replicas crash.
func (r *Replica) noteEvacuation(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.spared
	r.spared = r.evacuated(r.row.Zone)
	if was && !r.spared {
		r.coldEnd = now.Add(r.service.cold.Load().lasts)
	}
}

// bearsCold reports whether a cold replica bears one more request of this host.
func (r *Replica) bearsCold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roomCold(now)
}

// takeCold counts a request that is about to be sent, and reports whether the replica bears it; one that is warm bears
// all.
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

// roomCold reports whether a cold replica, whose lock is held, bears one more request.
func (r *Replica) roomCold(now time.Time) bool {
	bears := r.service.cold.Load().perSecond
	if bears <= 0 {
		return true
	}
	r.coldSent = slices.DeleteFunc(r.coldSent, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(r.coldSent) < r.coldShare(r.row.ID, bears)
}
