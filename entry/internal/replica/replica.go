package replica

import (
	"net/netip"
	"sync/atomic"
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/eject"
	"guavaspring.org/entry/internal/limit"
)

// rejectedVersionHold is the time for which an index version that a replica rejected is not requested from it again,
// whatever its headers name. Outdated headers are common, while replicas rarely load a dropped version again.
const rejectedVersionHold = 10 * time.Second

// Replica is one replica as seen by this host. Its methods are safe for concurrent use.
type Replica struct {
	ID   string
	Addr netip.AddrPort
	Zone string
	// Near is set if the replica is in this host's availability zone.
	Near bool
	// Eject is the state of its outlier ejection; an ejected replica gets only probes.
	Eject eject.State
	// Limit bounds the attempts of this host in flight at the replica.
	Limit limit.Limit

	// epoch is when this host added the replica; running and endedAt count from it.
	epoch time.Time
	// running holds the number of attempts in flight in its low 16 bits and, above them, the sum of their start times
	// in microseconds after epoch, modulo 2^48. One atomic addition updates both without a lock.
	running atomic.Uint64
	latency atomic.Int64
	// endedAt is the end time of the last attempt, in microseconds after epoch.
	endedAt         atomic.Int64
	draining        atomic.Bool
	claimedDraining atomic.Bool
	// holdingsAt is the time of the last reply that named the replica's holdings, answeredAt that of its last reply or
	// health check, both in nanoseconds since 1970.
	holdingsAt  atomic.Int64
	answeredAt  atomic.Int64
	rawHoldings atomic.Pointer[string]

	// The fields below are guarded by Table.mu.
	holdings []upstream.Holding
	rejected map[int64]time.Time
}

const (
	countBits = 16
	countMask = 1<<countBits - 1
	sumMask   = 1<<(64-countBits) - 1
	// latencyHalfLife is the half-life of the latency estimate of an idle replica. With it, a few single attempts find
	// a recovered replica within seconds, and cost little if the replica is still slow.
	latencyHalfLife = time.Second
	// maxHalvings is the greatest number of halvings.
	maxHalvings = 16
	// latencySmoothing is the divisor of a new sample's weight in the mean latency: a sample counts 1/latencySmoothing.
	latencySmoothing = 8
)

func (r *Replica) packStart(began time.Time) uint64 {
	return uint64(began.Sub(r.epoch).Microseconds())<<countBits | 1
}

// Begin counts an attempt that starts now. End must follow with the same start time.
func (r *Replica) Begin(now time.Time) { r.running.Add(r.packStart(now)) }

// End counts the end of the attempt that started at began and, if it was answered, adds its duration to the mean
// latency.
func (r *Replica) End(began time.Time, took time.Duration, answered bool) {
	r.running.Add(-r.packStart(began))
	r.endedAt.Store(began.Add(took).Sub(r.epoch).Microseconds())
	if !answered {
		return
	}
	old := r.latency.Load()
	if old == 0 {
		r.latency.Store(int64(took))
		return
	}
	// Two attempts that end at once may overwrite each other's sample; one lost sample hardly changes the mean.
	r.latency.Store(old + (int64(took)-old)/latencySmoothing)
}

// Running returns the number of attempts of this host in flight at the replica.
func (r *Replica) Running() int { return int(r.running.Load() & countMask) }

// Latency returns the moving average of its reply times, zero before the first reply.
func (r *Replica) Latency() time.Duration { return time.Duration(r.latency.Load()) }

// SetLatency replaces the average reply time, for example after a probe, whose sample is better than an old average.
func (r *Replica) SetLatency(took time.Duration) { r.latency.Store(int64(took)) }

// Estimate returns the expected duration of an attempt, zero if unknown, and the number of attempts in flight.
//
// The estimate is the larger of the average reply time and the mean age of the attempts in flight. A replica that has
// become slow sends few replies to measure, but the age of its attempts in flight grows at once. While none is in
// flight, the estimate is halved each second: otherwise a slow replica would be avoided and its recovery never noticed.
func (r *Replica) Estimate(now time.Time) (time.Duration, int) {
	v := r.running.Load()
	n := v & countMask
	est := time.Duration(r.latency.Load())
	at := now.Sub(r.epoch).Microseconds()
	if n == 0 {
		return est >> min(max(at-r.endedAt.Load(), 0)/latencyHalfLife.Microseconds(), maxHalvings), 0
	}
	ages := (n*uint64(at) - v>>countBits) & sumMask
	if ages > sumMask/2 {
		// The sum is negative if an attempt started after now was read.
		ages = 0
	}
	return max(est, time.Duration(ages/n)*time.Microsecond), int(n)
}

// Draining reports whether the replica is draining, or its health endpoint says so.
func (r *Replica) Draining() bool { return r.draining.Load() || r.claimedDraining.Load() }

// setHoldings parses and stores the holdings of a header and reports whether they are valid.
func (r *Replica) setHoldings(raw string) bool {
	list, err := upstream.ParseHoldings(raw)
	if err != nil {
		return false
	}
	r.rawHoldings.Store(&raw)
	r.holdings = list
	return true
}

func (r *Replica) rejects(version int64, now time.Time) bool {
	at, ok := r.rejected[version]
	if ok && now.Sub(at) >= rejectedVersionHold {
		delete(r.rejected, version)
		return false
	}
	return ok
}
