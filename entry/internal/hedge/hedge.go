package hedge

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// halfWindow is the length of each of the two halves of the window: long enough for a few hundred samples at ten
	// queries per second, short enough that the delay follows a change of load.
	halfWindow = 2 * time.Second
	// refreshInterval is the interval between updates of the quantiles; summing the buckets takes less than a
	// microsecond.
	refreshInterval = 50 * time.Millisecond
	// minSamples is the smallest number of samples from which quantiles are computed.
	minSamples = 50
	// saturatedShare is the share of refused attempts above which the upstream counts as saturated. One in fifty is
	// well above what a replica sheds by chance, and far below what it sheds when every slot is taken.
	saturatedShare = 0.02
	// lateFactor is the multiple of the expected number of late shards above which load is assumed to be the cause.
	lateFactor = 4
	// minLateLimit is the number of late shards that never counts as a sign of load.
	minLateLimit = 2
	// minDelay is the smallest delay before a hedge.
	minDelay = 500 * time.Microsecond
)

// Policy decides when hedges are sent, based on the recent replies of one service.
//
// A single slow replica delays the answer to a whole query, which without hedges takes as long as its slowest shard.
// Hedges that are sent too early, or to a saturated upstream, add load that makes further attempts late. So the delay
// is a measured quantile, no hedge is sent while attempts are being refused, and none at first where many shards of a
// query are late at once, since load is the likely cause then.
type Policy struct {
	mu          sync.Mutex
	current     samples
	previous    samples
	rotatedAt   time.Time
	refreshedAt time.Time

	quantile  atomic.Uint64
	delay     atomic.Int64
	median    atomic.Int64
	saturated atomic.Bool
}

// New returns a policy without samples: Delay is zero, so no hedge is due.
func New() *Policy {
	p := &Policy{}
	p.SetQuantile(0.95, 3)
	return p
}

// SetQuantile sets the quantile of reply times after which a hedge is due, and the hedge budget in percent.
//
// The quantile is raised where needed so that normal operation uses at most half of the budget. With the 95th
// percentile and a budget of 3 %, normal late attempts would use all of it and leave none for a true straggler.
func (p *Policy) SetQuantile(quantile, budgetPercent float64) {
	p.quantile.Store(math.Float64bits(max(quantile, 1-budgetPercent/200)))
}

// Observe records the time of a reply. An attempt that is canceled after Delay is recorded with its age: without it,
// the delay would shrink to the times of the faster attempts.
func (p *Policy) Observe(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	p.current.add(took)
	p.refresh(now)
}

// Refused records an attempt that a replica shed.
func (p *Policy) Refused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	p.current.refused++
	p.refresh(now)
}

// Delay returns the time after which an attempt is hedged, zero while there are too few samples.
func (p *Policy) Delay() time.Duration { return time.Duration(p.delay.Load()) }

// Median returns the median reply time, zero while there are too few samples.
func (p *Policy) Median() time.Duration { return time.Duration(p.median.Load()) }

// Allow reports whether a query may send hedges now, given the numbers of its late, answered and all shards. stillLate
// reports whether the late ones have stayed late for another delay.
//
// Many late shards at once are first taken as a sign of load. If they stay late while at least half of the shards have
// answered, neither load nor an expensive query is the cause: several replicas have become unreachable together, as
// with a failed switch.
func (p *Policy) Allow(late, answered, shards int, stillLate bool) bool {
	if p.saturated.Load() {
		return false
	}
	if stillLate && 2*answered >= shards {
		return true
	}
	expected := (1 - math.Float64frombits(p.quantile.Load())) * float64(shards)
	return late <= max(minLateLimit, int(lateFactor*expected))
}

// rotate starts a new half of the window if the current one is full.
func (p *Policy) rotate(now time.Time) {
	switch age := now.Sub(p.rotatedAt); {
	case age < halfWindow:
		return
	case age < 2*halfWindow:
		p.previous = p.current
	default:
		p.previous = samples{}
	}
	p.current = samples{}
	p.rotatedAt = now
}

// refresh updates the quantiles and the saturation, at most once per refreshInterval.
func (p *Policy) refresh(now time.Time) {
	if now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	p.refreshedAt = now
	n := p.current.n + p.previous.n
	refused := p.current.refused + p.previous.refused
	p.saturated.Store(refused > 1 && float64(refused) > saturatedShare*float64(n+refused))
	if n < minSamples {
		return
	}
	p.median.Store(int64(p.quantileAt(0.5, n)))
	p.delay.Store(int64(max(minDelay, p.quantileAt(math.Float64frombits(p.quantile.Load()), n))))
}

// quantileAt returns a quantile of the n samples of both halves.
func (p *Policy) quantileAt(quantile float64, n uint32) time.Duration {
	left := int64(math.Ceil(quantile * float64(n)))
	for i := range p.current.buckets {
		left -= int64(p.current.buckets[i]) + int64(p.previous.buckets[i])
		if left <= 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(len(p.current.buckets) - 1)
}

// The buckets are those of an HDR histogram: microseconds with four significant bits, so that a quantile is accurate to
// one sixteenth.
const (
	subBits    = 4
	subBuckets = 1 << subBits
	// maxMicroseconds is the longest recorded time, about an hour; longer ones are recorded as this.
	maxMicroseconds = 1<<32 - 1
	buckets         = (32 - subBits + 1) * subBuckets
)

// samples holds the samples of one half of the window.
type samples struct {
	buckets [buckets]uint32
	n       uint32
	refused uint32
}

func (s *samples) add(took time.Duration) {
	s.buckets[bucketIndex(took)]++
	s.n++
}

// bucketIndex returns the bucket of a time.
func bucketIndex(took time.Duration) int {
	us := uint64(min(max(took.Microseconds(), 0), maxMicroseconds))
	if us < subBuckets {
		return int(us)
	}
	shift := bits.Len64(us) - subBits - 1
	return (shift+1)*subBuckets + int(us>>shift) - subBuckets
}

// bucketUpperBound returns the upper bound of a bucket.
func bucketUpperBound(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i+1) * time.Microsecond
	}
	shift := i/subBuckets - 1
	return time.Duration(((i%subBuckets)+subBuckets+1)<<shift) * time.Microsecond
}
