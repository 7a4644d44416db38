package adapt

import (
	"slices"
	"time"
)

// The pace of a Limit. docs/design/admission.md gives the runs that chose tolerance and the steps.
const (
	// window is how long replies are gathered before the limit moves: long enough for some requests to run under the
	// last move.
	window = 100 * time.Millisecond
	// leastReplies is how many replies a window needs, so that its median means something.
	leastReplies = 32
	// maxReplies bounds the replies kept of a window; later ones are not looked at.
	maxReplies = 256
	// shedPercent is the share of shed tries from which the upstream is taken for full.
	shedPercent = 2
	// floorPart is the part of the cap below which the limit never goes.
	floorPart = 16
	// startPart is the part of the cap at which a host starts.
	startPart = 4
)

// tolerance is how far the median reply time may rise over its base before the limit falls.
const tolerance = 1.25

// down is the share of the limit that is left after a window in which the upstream was pressed.
const down = 0.95

// Limit is the most requests that one host runs at once for a service; it is not safe for concurrent use.
//
// It answers an upstream that takes less than the document's cap allows, since it is slow today or since
// other hosts use it too. Without it each host keeps the cap's worth of requests on an upstream that is
// full: they queue there, where no order is kept among callers and nobody is refused in time.
//
// It rises while the median reply time stays near the lowest one seen, first by doubling, then by steps,
// and falls by a share when it does not or when tries are shed. Equal steps up and equal shares down let
// hosts that see the same upstream end at equal limits with no word between them. The median is taken over
// shards, not over whole queries: one dead or slow shard must not be taken for an upstream that is full.
type Limit struct {
	cap     int
	current float64
	// base is the median reply time of an upstream that is not pressed.
	base time.Duration
	// fallFrom and fallMedian are the limit and the median reply time when the limit began to fall; zero while it does
	// not.
	fallFrom   float64
	fallMedian time.Duration
	// doubling is set until the limit falls for the first time.
	doubling bool

	began       time.Time
	took        []time.Duration
	tries, shed int
	// peak is the most requests that ran at once in the window.
	peak int
}

// New returns a limit that starts at a part of the cap.
func New(most int) *Limit {
	return &Limit{cap: most, current: float64(max(1, most/startPart)), doubling: true, took: make([]time.Duration, 0, maxReplies)}
}

// Current returns the limit, at least 1.
func (l *Limit) Current() int { return max(1, int(l.current)) }

// SetCap changes the cap; a limit that is over it comes down at once, and one below a raised cap rises by doubling
// again.
func (l *Limit) SetCap(most int) {
	l.doubling = l.doubling || most > l.cap
	l.cap = most
	l.current = min(l.current, float64(most))
}

// Base returns the median reply time of an upstream that is not pressed, zero before the first window ended.
func (l *Limit) Base() time.Duration { return l.base }

// Reply takes in that a shard answered after took from the start of its query, or that a try was cut off after took,
// while running requests ran; it reports whether the limit moved.
func (l *Limit) Reply(now time.Time, took time.Duration, running int) bool {
	if len(l.took) < maxReplies {
		l.took = append(l.took, took)
	}
	return l.count(now, running)
}

// Shed takes in that a try was turned away by a replica that was full; it reports whether the limit moved.
func (l *Limit) Shed(now time.Time, running int) bool {
	l.shed++
	return l.count(now, running)
}

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
		// A limit that is not used proves nothing, neither that it could be higher nor that this host presses the
		// upstream.
	case l.doubling:
		l.current = min(l.current*2, float64(l.cap))
	default:
		l.current = min(l.current+max(1, l.current/32), float64(l.cap))
	}
	if !pressed {
		l.fallFrom = 0
	}
}

func (l *Limit) fall(middle time.Duration) {
	l.doubling = false
	if l.fallFrom == 0 {
		l.fallFrom, l.fallMedian = l.current, middle
	}
	l.current = max(l.current*down, l.floor())
}

// The share to which the limit must have fallen, and the share to which the median must have fallen with it, for the
// fall to have helped.
const (
	fallenLimit  = 0.6
	fallenMedian = 0.85
)

// learnBase takes the lowest median, and lets it rise where this host can't be the cause.
//
// An upstream that became slower for good looks as if it were pressed, and would hold the limit at the
// floor. Three signs tell it apart: the limit fell by 40 in 100 and the median by less than 15, the limit is
// at the floor, or less than half of it is used. A base that rose by itself as time goes on would, while the
// load stays over capacity, rise with what it should be compared to, and the limit with it.
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

func (l *Limit) used(part float64) bool { return float64(l.peak) >= part*float64(l.Current()) }

func (l *Limit) floor() float64 { return max(1, float64(l.cap)/floorPart) }
