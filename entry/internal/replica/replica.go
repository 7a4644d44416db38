package replica

import (
	"net/netip"
	"sync/atomic"
	"time"

	"guavaspring.org/core/upstream"
)

// goneHold is how long a version that a replica refused is not asked of it again, whatever its headers say; a version that is loaded again is rare, a header that lags is not.
const goneHold = 10 * time.Second

// Replica is one replica as this host sees it; its counters may be used from any goroutine.
type Replica struct {
	ID   string
	Addr netip.AddrPort
	Zone string

	running  atomic.Int32
	latency  atomic.Int64
	draining atomic.Bool
	claimed  atomic.Bool
	heard    atomic.Int64
	raw      atomic.Pointer[string]

	// The table's lock guards what follows.
	holdings []upstream.Holding
	gone     map[int64]time.Time
}

// Begin counts a try that was sent to the replica; End must follow.
func (r *Replica) Begin() { r.running.Add(1) }

// smoothing is the weight of a new sample in the mean latency, as one part in smoothing.
const smoothing = 8

// End counts the end of a try and, where it was answered, the time it took.
func (r *Replica) End(took time.Duration, answered bool) {
	r.running.Add(-1)
	if !answered {
		return
	}
	old := r.latency.Load()
	if old == 0 {
		r.latency.Store(int64(took))
		return
	}
	r.latency.Store(old + (int64(took)-old)/smoothing)
}

// Running returns how many tries of this host the replica has now.
func (r *Replica) Running() int { return int(r.running.Load()) }

// Latency returns the smoothed time of its answers, zero before the first.
func (r *Replica) Latency() time.Duration { return time.Duration(r.latency.Load()) }

// Draining reports whether the replica is known to be leaving or claims to be.
func (r *Replica) Draining() bool { return r.draining.Load() || r.claimed.Load() }

// takeHoldings stores what the header names and reports whether it could be read.
func (r *Replica) takeHoldings(raw string) bool {
	list, err := upstream.ParseHoldings(raw)
	if err != nil {
		return false
	}
	r.raw.Store(&raw)
	r.holdings = list
	return true
}

func (r *Replica) refused(version int64, now time.Time) bool {
	at, ok := r.gone[version]
	if ok && now.Sub(at) >= goneHold {
		delete(r.gone, version)
		return false
	}
	return ok
}
