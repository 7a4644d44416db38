package endpoints

import (
	"slices"
	"time"

	"guavaspring.org/core/route"
)

// coldWindow is the time over which requests to a cold replica are counted: the second for which the limit holds, and
// the time for which one of them may wait for a connection.
const coldWindow = 1300 * time.Millisecond

// coldLimitExceeded is the failure detail of a request that would exceed the limit of a cold replica.
const coldLimitExceeded = "the replica is cold and has got what it bears of this host"

// coldLimits holds the limits of a service's replicas while they are cold.
type coldLimits struct {
	// duration is how long a replica stays cold.
	duration time.Duration
	// perSecond is the maximum number of requests per second, zero for no limit.
	perSecond float64
}

func newColdLimits(s route.Service) *coldLimits {
	return &coldLimits{duration: s.ColdFor, perSecond: s.ColdPerSecond}
}

// updateCold updates the end of the cold period from the row. A replica may become cold again at any time, for example
// after its zone was evacuated: it is slow then although all its measured replies were fast.
func (r *Replica) updateCold(now time.Time) {
	if r.row.Cold > 0 {
		r.coldUntil = now.Add(r.row.Cold)
	}
}

// updateEvacuated marks the replica cold if its zone was released: its row may say so only a heartbeat later, and
// sending a zone its full share at once makes all its replicas crash.
func (r *Replica) updateEvacuated(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.wasEvacuated
	r.wasEvacuated = r.evacuated(r.row.Zone)
	if was && !r.wasEvacuated {
		r.coldUntil = now.Add(r.service.cold.Load().duration)
	}
}

// coldHasRoom reports whether this host may send one more request to a cold replica.
func (r *Replica) coldHasRoom(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldHasRoomLocked(now)
}

// reserveCold counts a request that is about to be sent, and reports whether the limit allows it; a warm replica has
// none.
func (r *Replica) reserveCold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.coldUntil) {
		r.coldSent = nil
		return true
	}
	if !r.coldHasRoomLocked(now) {
		return false
	}
	if r.service.cold.Load().perSecond > 0 {
		r.coldSent = append(r.coldSent, now)
	}
	return true
}

// coldHasRoomLocked reports whether the limit of a cold replica, whose lock is held, allows one more request.
func (r *Replica) coldHasRoomLocked(now time.Time) bool {
	limit := r.service.cold.Load().perSecond
	if limit <= 0 {
		return true
	}
	r.coldSent = slices.DeleteFunc(r.coldSent, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(r.coldSent) < r.coldShare(r.row.ID, limit)
}
