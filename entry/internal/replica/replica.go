package replica

import (
	"net/netip"
	"sync/atomic"
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/eject"
	"guavaspring.org/entry/internal/limit"
)

// goneHold is how long a version that a replica refused is not asked of it again, whatever its headers say; a version
// that is loaded again is rare, a header that lags is not.
const goneHold = 10 * time.Second

// Replica is one replica as this host sees it; its methods may be used from any goroutine.
type Replica struct {
	ID   string
	Addr netip.AddrPort
	Zone string
	// Near says that the replica is in this host's availability zone.
	Near bool
	// Eject says whether it gets ordinary tries.
	Eject eject.State
	// Limit says how many tries of this host it may run.
	Limit limit.Limit

	// epoch is when this host first heard of the replica; running counts from it.
	epoch time.Time
	// running holds the number of tries in its low 16 bits and the sum of their starts, in microseconds after
	// epoch and modulo 2^48, above: one addition keeps both right together without a lock.
	running atomic.Uint64
	latency atomic.Int64
	// ended is when the last try ended, in microseconds after epoch.
	ended    atomic.Int64
	draining atomic.Bool
	claimed  atomic.Bool
	// heard is when the last reply named its holdings, answered when the replica last answered anything, in nanoseconds
	// since 1970.
	heard    atomic.Int64
	answered atomic.Int64
	raw      atomic.Pointer[string]

	// The table's lock guards what follows.
	holdings []upstream.Holding
	gone     map[int64]time.Time
}

const (
	countBits = 16
	countMask = 1<<countBits - 1
	sumMask   = 1<<(64-countBits) - 1
	// forget is how long a replica must be idle for what was learned of it to count half: a few single tries then find
	// a recovered replica within seconds, and cost a slow one's queries little.
	forget = time.Second
	// mostHalves bounds the halving.
	mostHalves = 16
	// smoothing is the weight of a new sample in the mean latency, as one part in smoothing.
	smoothing = 8
)

func (r *Replica) entry(began time.Time) uint64 {
	return uint64(began.Sub(r.epoch).Microseconds())<<countBits | 1
}

// Begin counts a try that is sent to the replica now; End with the same time must follow.
func (r *Replica) Begin(now time.Time) { r.running.Add(r.entry(now)) }

// End counts the end of a try that began then and, where it was answered, the time it took.
func (r *Replica) End(began time.Time, took time.Duration, answered bool) {
	r.running.Add(-r.entry(began))
	r.ended.Store(began.Add(took).Sub(r.epoch).Microseconds())
	if !answered {
		return
	}
	old := r.latency.Load()
	if old == 0 {
		r.latency.Store(int64(took))
		return
	}
	// Two tries that end at once may overwrite each other's sample; the mean of many hardly moves.
	r.latency.Store(old + (int64(took)-old)/smoothing)
}

// Running returns how many tries of this host the replica has now.
func (r *Replica) Running() int { return int(r.running.Load() & countMask) }

// Latency returns the smoothed time of its answers, zero before the first.
func (r *Replica) Latency() time.Duration { return time.Duration(r.latency.Load()) }

// SetLatency replaces the smoothed time, where a single try tells more than what was learned long ago.
func (r *Replica) SetLatency(took time.Duration) { r.latency.Store(int64(took)) }

// Estimate returns how long a try is expected to take, zero where nothing is known, and how many run.
//
// It is the larger of the mean of past answers and the mean age of the tries that run. A replica that has
// become slow gives few answers to learn from, but its running tries grow old at once. While none runs, what
// was learned counts half after each second: a replica that was slow and is avoided for it would otherwise
// never be seen to have recovered.
func (r *Replica) Estimate(now time.Time) (time.Duration, int) {
	v := r.running.Load()
	n := v & countMask
	est := time.Duration(r.latency.Load())
	at := now.Sub(r.epoch).Microseconds()
	if n == 0 {
		return est >> min(max(at-r.ended.Load(), 0)/forget.Microseconds(), mostHalves), 0
	}
	ages := (n*uint64(at) - v>>countBits) & sumMask
	if ages > sumMask/2 {
		// A try that began after now was read makes the sum less than zero.
		ages = 0
	}
	return max(est, time.Duration(ages/n)*time.Microsecond), int(n)
}

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
