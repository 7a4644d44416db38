package hedge

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// span is how long the older half of the window is kept: long enough for a few hundred samples at ten queries a
	// second, short enough that the delay follows a change of load.
	span = 2 * time.Second
	// refresh is how often the quantiles are worked out anew; summing the buckets costs less than a microsecond.
	refresh = 50 * time.Millisecond
	// fewest is the number of samples below which no quantile is trusted.
	fewest = 50
	// saturation is the share of refused tries above which the upstream is taken to be full: one in fifty is well over
	// what a replica sheds by chance, and far below what it sheds when every slot is taken.
	saturation = 0.02
	// lateFactor is how many times the expected number of late shards a query may have before the load is taken to be
	// the cause.
	lateFactor = 4
	// fewLate is the number of late shards that is never held for a sign of load.
	fewLate = 2
	// shortest is the smallest delay before a second try.
	shortest = 500 * time.Microsecond
)

// Policy decides when second tries are sent, from the service's own recent replies.
//
// It answers single stragglers: one slow replica holds up a whole page. Without it the page's time is the
// worst of its shards' times. Sent too early or into a full upstream, second tries are the load that makes
// the next tries late; so the delay is a measured quantile, and no second try goes out while tries are
// being refused, and none at first where many shards of a query are late at once, since then the load is the
// likely cause.
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

// New returns a policy that has seen no reply and so sends no second try.
func New() *Policy {
	p := &Policy{}
	p.SetQuantile(0.95, 3)
	return p
}

// SetQuantile sets the quantile of reply times after which a second try is due, and the budget in percent.
//
// The quantile used leaves half of the budget unspent on ordinary days. With the 95th percentile and a
// budget of 3 %, ordinary late tries would use all of it, and a true straggler would find none left.
func (p *Policy) SetQuantile(quantile, budgetPercent float64) {
	p.quantile.Store(math.Float64bits(max(quantile, 1-budgetPercent/200)))
}

// Observe counts a reply that took so long; a try given up later than Delay counts with its age, since leaving it out
// would make the delay shrink to what the winners took.
func (p *Policy) Observe(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn(now)
	p.cur.add(took)
	p.count(now)
}

// Refused counts a try that a replica shed.
func (p *Policy) Refused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn(now)
	p.cur.refused++
	p.count(now)
}

// Delay returns how long a try may run before a second one is due, zero while too little is known.
func (p *Policy) Delay() time.Duration { return time.Duration(p.delay.Load()) }

// Median returns the median reply time, zero while too little is known.
func (p *Policy) Median() time.Duration { return time.Duration(p.median.Load()) }

// Allow reports whether a query of so many shards, of which so many are late and so many have answered, may send second
// tries now; again says that the late ones have been so for another delay.
//
// Many late at once are first taken for a sign of load. Where they stay late while half of the query has answered, it
// isn't the load, nor a long query: replicas have gone silent together, as with a switch.
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

// The buckets are those of an HDR histogram: microseconds with four significant bits, so a quantile is right within a
// sixteenth.
const (
	subBits = 4
	subs    = 1 << subBits
	// most is the longest time told apart, about an hour.
	most    = 1<<32 - 1
	buckets = (32 - subBits + 1) * subs
)

type window struct {
	buckets [buckets]uint32
	n       uint32
	refused uint32
}

func (w *window) add(took time.Duration) {
	w.buckets[index(took)]++
	w.n++
}

func index(took time.Duration) int {
	us := uint64(min(max(took.Microseconds(), 0), most))
	if us < subs {
		return int(us)
	}
	shift := bits.Len64(us) - subBits - 1
	return (shift+1)*subs + int(us>>shift) - subs
}

// upper returns the upper end of a bucket.
func upper(i int) time.Duration {
	if i < subs {
		return time.Duration(i+1) * time.Microsecond
	}
	shift := i/subs - 1
	return time.Duration(((i%subs)+subs+1)<<shift) * time.Microsecond
}
