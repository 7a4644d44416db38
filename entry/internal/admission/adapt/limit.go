package adapt

import (
	"slices"
	"time"
)

// The timing and bounds of a Limit. docs/design/admission.md explains tolerance and the steps.
const (
	// window is the minimum time between two adjustments, long enough for some requests to run under the last one.
	window = 100 * time.Millisecond
	// leastReplies is the minimum number of replies in a window; the median of fewer is not significant.
	leastReplies = 32
	// maxReplies is the maximum number of latencies kept per window; later ones are ignored.
	maxReplies = 256
	// shedPercent is the percentage of shed tries above which the upstream counts as overloaded.
	shedPercent = 2
	// floorPart is the divisor of the cap that gives the minimum of the limit.
	floorPart = 16
	// startPart is the divisor of the cap that gives the initial limit.
	startPart = 4
)

// tolerance is the ratio of the median latency to the base latency above which the limit is decreased.
const tolerance = 1.25

// down is the factor by which the limit is multiplied after a window in which the upstream was overloaded.
const down = 0.95

// Limit is an adaptive concurrency limit for the requests of a service on one host. It is not safe for concurrent use.
//
// It handles an upstream whose capacity is lower than the configured cap, because it is slow or shared with other
// hosts. With a fixed limit each host keeps as many requests on an overloaded upstream as the cap allows. They queue
// there, where callers are not served fairly and requests are not refused in time.
//
// The limit increases while the median latency stays near the lowest one observed, first by doubling, then by additive
// steps. It decreases by a factor when the median rises or when tries are shed. Additive increase and multiplicative
// decrease let hosts that use the same upstream converge to equal limits without coordination. The median is taken over
// the replies of shards, not over whole queries, so that one failed or slow shard does not look like an overloaded
// upstream.
type Limit struct {
	cap     int
	current float64
	// base is the median latency of an upstream that is not overloaded.
	base time.Duration
	// fallFrom and fallMedian are the limit and the median latency when the limit began to decrease; fallFrom is zero
	// while it does not decrease.
	fallFrom   float64
	fallMedian time.Duration
	// doubling is set until the limit decreases for the first time, and again after the cap is raised.
	doubling bool

	began       time.Time
	took        []time.Duration
	tries, shed int
	// peak is the maximum number of concurrently running requests in the window.
	peak int
}

// New returns a limit with the given cap, which starts at a part of it.
func New(most int) *Limit {
	return &Limit{cap: most, current: float64(max(1, most/startPart)), doubling: true, took: make([]time.Duration, 0, maxReplies)}
}

// Current returns the current limit, at least 1.
func (l *Limit) Current() int { return max(1, int(l.current)) }

// SetCap changes the cap. A limit above the new cap is lowered to it at once; after the cap is raised the limit
// increases by doubling again.
func (l *Limit) SetCap(most int) {
	l.doubling = l.doubling || most > l.cap
	l.cap = most
	l.current = min(l.current, float64(most))
}

// Base returns the median latency of an upstream that is not overloaded, or zero before the end of the first window.
func (l *Limit) Base() time.Duration { return l.base }

// Reply records the time from the start of a query to the answer of a shard, or the time after which a try was
// canceled. running is the number of running requests. It reports whether the limit changed.
func (l *Limit) Reply(now time.Time, took time.Duration, running int) bool {
	if len(l.took) < maxReplies {
		l.took = append(l.took, took)
	}
	return l.count(now, running)
}

// Shed records that a replica without free capacity rejected a try; it reports whether the limit changed.
func (l *Limit) Shed(now time.Time, running int) bool {
	l.shed++
	return l.count(now, running)
}

// count counts a try and adjusts the limit at the end of a window; it reports whether the limit changed.
func (l *Limit) count(now time.Time, running int) bool {
	if l.tries == 0 {
		l.began = now
	}
	l.tries++
	l.peak = max(l.peak, running)
	if l.tries < leastReplies || now.Sub(l.began) < window {
		return false
	}
	old := l.Current()
	l.move()
	l.took, l.tries, l.shed, l.peak = l.took[:0], 0, 0, 0
	return l.Current() != old
}

// move adjusts the limit to the replies of the window.
func (l *Limit) move() {
	slices.Sort(l.took)
	middle := l.base
	if len(l.took) > 0 {
		middle = l.took[len(l.took)/2]
	}
	l.learnBase(middle)
	pressed := l.shed*100 > l.tries*shedPercent || float64(middle) > tolerance*float64(l.base)
	switch {
	case pressed && l.used(0.5):
		l.fall(middle)
	case pressed || !l.used(0.9):
		// While the limit is not reached, latency shows neither that it could be higher nor that this host overloads
		// the upstream.
	case l.doubling:
		l.current = min(l.current*2, float64(l.cap))
	default:
		l.current = min(l.current+max(1, l.current/32), float64(l.cap))
	}
	if !pressed {
		l.fallFrom = 0
	}
}

// fall decreases the limit, and notes the limit and the median at the start of a series of decreases.
func (l *Limit) fall(middle time.Duration) {
	l.doubling = false
	if l.fallFrom == 0 {
		l.fallFrom, l.fallMedian = l.current, middle
	}
	l.current = max(l.current*down, l.floor())
}

// A decrease of the limit has no effect if the limit is at most fallenLimit of its value before the decrease and the
// median latency is still above fallenMedian of its value.
const (
	fallenLimit  = 0.6
	fallenMedian = 0.85
)

// learnBase sets the base to the lowest median, and raises it where this host can't be the cause of a higher median.
//
// An upstream that has become permanently slower looks overloaded and would hold the limit at its minimum. Three
// conditions distinguish it: the limit decreased by 40% and the median by less than 15%, the limit is at its minimum,
// or less than half of it is used. A base that rose with time alone would, while the load stays above capacity, follow
// the median that it is compared to, and the limit would rise with it.
func (l *Limit) learnBase(middle time.Duration) {
	futile := l.fallFrom > 0 && l.current <= fallenLimit*l.fallFrom && float64(middle) > fallenMedian*float64(l.fallMedian)
	switch {
	case l.base == 0 || middle < l.base:
		l.base = middle
	case futile:
		l.base, l.fallFrom = middle, 0
	case l.current <= l.floor():
		l.base += (middle - l.base) / 4
	case !l.used(0.5):
		l.base += (middle - l.base) / 64
	}
}

// used reports whether the running requests reached the given part of the limit within the window.
func (l *Limit) used(part float64) bool { return float64(l.peak) >= part*float64(l.Current()) }

// floor returns the minimum of the limit.
func (l *Limit) floor() float64 { return max(1, float64(l.cap)/floorPart) }
