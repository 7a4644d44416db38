package hedge

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// span is the length of each of the two halves of the window: long enough for a few hundred samples at ten queries
	// per second, short enough that the delay follows a change of load.
	span = 2 * time.Second
	// refresh is the interval between updates of the quantiles; summing the buckets takes less than a microsecond.
	refresh = 50 * time.Millisecond
	// fewest is the smallest number of samples from which quantiles are computed.
	fewest = 50
	// saturation is the share of refused tries above which the upstream counts as saturated. One in fifty is well above
	// what a replica sheds by chance, and far below what it sheds when every slot is taken.
	saturation = 0.02
	// lateFactor is the multiple of the expected number of late shards above which load is assumed to be the cause.
	lateFactor = 4
	// fewLate is the number of late shards that never counts as a sign of load.
	fewLate = 2
	// shortest is the smallest delay before a hedge.
	shortest = 500 * time.Microsecond
)

// Policy decides when hedges are sent, based on the recent replies of one service.
//
// A single slow replica delays the answer to a whole query, which without hedges takes as long as its slowest shard.
// Hedges that are sent too early, or to a saturated upstream, add load that makes further tries late. So the delay is a
// measured quantile, no hedge is sent while tries are being refused, and none at first where many shards of a query are
// late at once, since load is the likely cause then.
type Policy struct {
	mu      sync.Mutex
	cur     window
	old     window
	turned  time.Time
	counted time.Time

	quantile atomic.Uint64
	delay    atomic.Int64
	median   atomic.Int64
	full     atomic.Bool
}

// New returns a policy without samples: Delay is zero, so no hedge is due.
func New() *Policy {
	p := &Policy{}
	p.SetQuantile(0.95, 3)
	return p
}

// SetQuantile sets the quantile of reply times after which a hedge is due, and the hedge budget in percent of tries.
//
// The quantile is raised where needed so that normal operation uses at most half of the budget. With the 95th
// percentile and a budget of 3 %, normal late tries would use all of it and leave none for a true straggler.
func (p *Policy) SetQuantile(quantile, budgetPercent float64) {
	p.quantile.Store(math.Float64bits(max(quantile, 1-budgetPercent/200)))
}

// Observe records the time of a reply. A try that is canceled after Delay is recorded with its age: without it, the delay
// would shrink to the times of the faster tries.
func (p *Policy) Observe(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn(now)
	p.cur.add(took)
	p.count(now)
}

// Refused records a try that a replica shed.
func (p *Policy) Refused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn(now)
	p.cur.refused++
	p.count(now)
}

// Delay returns the time after which a try is hedged, zero while there are too few samples.
func (p *Policy) Delay() time.Duration { return time.Duration(p.delay.Load()) }

// Median returns the median reply time, zero while there are too few samples.
func (p *Policy) Median() time.Duration { return time.Duration(p.median.Load()) }

// Allow reports whether a query may send hedges now, given the numbers of its late, answered and all shards. again
// reports whether the late ones have stayed late for another delay.
//
// Many late shards at once are first taken as a sign of load. If they stay late while at least half of the shards have
// answered, neither load nor an expensive query is the cause: several replicas have become unreachable together, as with
// a failed switch.
func (p *Policy) Allow(late, answered, shards int, again bool) bool {
	if p.full.Load() {
		return false
	}
	if again && 2*answered >= shards {
		return true
	}
	expected := (1 - math.Float64frombits(p.quantile.Load())) * float64(shards)
	return late <= max(fewLate, int(lateFactor*expected))
}

// turn starts a new half of the window if the current one is full.
func (p *Policy) turn(now time.Time) {
	switch age := now.Sub(p.turned); {
	case age < span:
		return
	case age < 2*span:
		p.old = p.cur
	default:
		p.old = window{}
	}
	p.cur = window{}
	p.turned = now
}

// count updates the quantiles and the saturation, at most once per refresh interval.
func (p *Policy) count(now time.Time) {
	if now.Sub(p.counted) < refresh {
		return
	}
	p.counted = now
	n := p.cur.n + p.old.n
	refused := p.cur.refused + p.old.refused
	p.full.Store(refused > 1 && float64(refused) > saturation*float64(n+refused))
	if n < fewest {
		return
	}
	p.median.Store(int64(p.at(0.5, n)))
	p.delay.Store(int64(max(shortest, p.at(math.Float64frombits(p.quantile.Load()), n))))
}

// at returns a quantile of the n samples of both halves.
func (p *Policy) at(quantile float64, n uint32) time.Duration {
	left := int64(math.Ceil(quantile * float64(n)))
	for i := range p.cur.buckets {
		left -= int64(p.cur.buckets[i]) + int64(p.old.buckets[i])
		if left <= 0 {
			return upper(i)
		}
	}
	return upper(len(p.cur.buckets) - 1)
}

// The buckets are those of an HDR histogram: microseconds with four significant bits, so that a quantile is accurate to
// one sixteenth.
const (
	subBits = 4
	subs    = 1 << subBits
	// most is the longest recorded time, about an hour; longer ones are recorded as this.
	most    = 1<<32 - 1
	buckets = (32 - subBits + 1) * subs
)

// window holds the samples of one half of the window.
type window struct {
	buckets [buckets]uint32
	n       uint32
	refused uint32
}

func (w *window) add(took time.Duration) {
	w.buckets[index(took)]++
	w.n++
}

// index returns the bucket of a time.
func index(took time.Duration) int {
	us := uint64(min(max(took.Microseconds(), 0), most))
	if us < subs {
		return int(us)
	}
	shift := bits.Len64(us) - subBits - 1
	return (shift+1)*subs + int(us>>shift) - subs
}

// upper returns the upper bound of a bucket.
func upper(i int) time.Duration {
	if i < subs {
		return time.Duration(i+1) * time.Microsecond
	}
	shift := i/subs - 1
	return time.Duration(((i%subs)+subs+1)<<shift) * time.Microsecond
}
