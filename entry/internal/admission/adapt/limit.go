package adapt

import (
	"slices"
	"time"
)

// The timing and bounds of a Limit. docs/design/admission.md explains latencyTolerance and the steps.
const (
	// window is the minimum time between two adjustments, long enough for some requests to run under the last one.
	window = 100 * time.Millisecond
	// minWindowAttempts is the minimum number of attempts in a window; the median of fewer is not significant.
	minWindowAttempts = 32
	// maxWindowSamples is the maximum number of latencies kept per window; later ones are ignored.
	maxWindowSamples = 256
	// shedPercent is the percentage of shed attempts above which the upstream counts as overloaded.
	shedPercent = 2
	// floorDivisor is the divisor of the cap that gives the minimum of the limit.
	floorDivisor = 16
	// startDivisor is the divisor of the cap that gives the initial limit.
	startDivisor = 4
)

// latencyTolerance is the ratio of the median latency to the base latency above which the limit is decreased.
const latencyTolerance = 1.25

// decreaseFactor is the factor by which the limit is multiplied after a window in which the upstream was overloaded.
const decreaseFactor = 0.95

// Limit is an adaptive concurrency limit for the requests of a service on one host. It is not safe for concurrent use.
//
// It handles an upstream whose capacity is lower than the configured cap, because it is slow or shared with other
// hosts. With a fixed limit each host keeps as many requests on an overloaded upstream as the cap allows. They queue
// there, where callers are not served fairly and requests are not refused in time.
//
// The limit increases while the median latency stays near the lowest one observed, first by doubling, then by additive
// steps. It decreases by a factor when the median rises or when attempts are shed. Additive increase and multiplicative
// decrease let hosts that use the same upstream converge to equal limits without coordination. The median is taken over
// the replies of shards, not over whole queries, so that one failed or slow shard does not look like an overloaded
// upstream.
type Limit struct {
	cap     int
	current float64
	// baseLatency is the median latency of an upstream that is not overloaded.
	baseLatency time.Duration
	// limitBeforeDecrease and medianBeforeDecrease are the limit and the median latency when the limit began to
	// decrease; limitBeforeDecrease is zero while it does not decrease.
	limitBeforeDecrease  float64
	medianBeforeDecrease time.Duration
	// doubling is set until the limit decreases for the first time, and again after the cap is raised.
	doubling bool

	windowStart    time.Time
	latencies      []time.Duration
	attempts, shed int
	// peakRunning is the maximum number of concurrently running requests in the window.
	peakRunning int
}

// New returns a limit with the given cap, which starts at a part of it.
func New(limitCap int) *Limit {
	return &Limit{
		cap: limitCap, current: float64(max(1, limitCap/startDivisor)), doubling: true,
		latencies: make([]time.Duration, 0, maxWindowSamples),
	}
}

// Current returns the current limit, at least 1.
func (l *Limit) Current() int { return max(1, int(l.current)) }

// SetCap changes the cap. A limit above the new cap is lowered to it at once; after the cap is raised the limit
// increases by doubling again.
func (l *Limit) SetCap(limitCap int) {
	l.doubling = l.doubling || limitCap > l.cap
	l.cap = limitCap
	l.current = min(l.current, float64(limitCap))
}

// Base returns the median latency of an upstream that is not overloaded, or zero before the end of the first window.
func (l *Limit) Base() time.Duration { return l.baseLatency }

// RecordReply records the time from the start of a query to the reply of a shard, or the time after which an attempt
// was canceled. running is the number of running requests. It reports whether the limit changed.
func (l *Limit) RecordReply(now time.Time, took time.Duration, running int) bool {
	if len(l.latencies) < maxWindowSamples {
		l.latencies = append(l.latencies, took)
	}
	return l.recordAttempt(now, running)
}

// RecordShed records that a replica without free capacity rejected an attempt; it reports whether the limit changed.
func (l *Limit) RecordShed(now time.Time, running int) bool {
	l.shed++
	return l.recordAttempt(now, running)
}

// recordAttempt counts an attempt and adjusts the limit at the end of a window; it reports whether the limit changed.
func (l *Limit) recordAttempt(now time.Time, running int) bool {
	if l.attempts == 0 {
		l.windowStart = now
	}
	l.attempts++
	l.peakRunning = max(l.peakRunning, running)
	if l.attempts < minWindowAttempts || now.Sub(l.windowStart) < window {
		return false
	}
	old := l.Current()
	l.adjust()
	l.latencies, l.attempts, l.shed, l.peakRunning = l.latencies[:0], 0, 0, 0
	return l.Current() != old
}

// adjust adjusts the limit to the replies of the window.
func (l *Limit) adjust() {
	slices.Sort(l.latencies)
	median := l.baseLatency
	if len(l.latencies) > 0 {
		median = l.latencies[len(l.latencies)/2]
	}
	l.updateBase(median)
	overloaded := l.shed*100 > l.attempts*shedPercent || float64(median) > latencyTolerance*float64(l.baseLatency)
	switch {
	case overloaded && l.usedAtLeast(0.5):
		l.decrease(median)
	case overloaded || !l.usedAtLeast(0.9):
		// While the limit is not reached, latency shows neither that it could be higher nor that this host overloads
		// the upstream.
	case l.doubling:
		l.current = min(l.current*2, float64(l.cap))
	default:
		l.current = min(l.current+max(1, l.current/32), float64(l.cap))
	}
	if !overloaded {
		l.limitBeforeDecrease = 0
	}
}

// decrease decreases the limit, and notes the limit and the median at the start of a series of decreases.
func (l *Limit) decrease(median time.Duration) {
	l.doubling = false
	if l.limitBeforeDecrease == 0 {
		l.limitBeforeDecrease, l.medianBeforeDecrease = l.current, median
	}
	l.current = max(l.current*decreaseFactor, l.floor())
}

// A decrease of the limit has no effect if the limit is at most ineffectiveLimitRatio of its value before the decrease
// and the median latency is still above ineffectiveMedianRatio of its value.
const (
	ineffectiveLimitRatio  = 0.6
	ineffectiveMedianRatio = 0.85
)

// updateBase sets the base to the lowest median, and raises it where this host can't be the cause of a higher median.
//
// An upstream that has become permanently slower looks overloaded and would hold the limit at its minimum. Three
// conditions distinguish it: the limit decreased by 40% and the median by less than 15%, the limit is at its minimum,
// or less than half of it is used. A base that rose with time alone would, while the load stays above capacity, follow
// the median that it is compared to, and the limit would rise with it.
func (l *Limit) updateBase(median time.Duration) {
	ineffective := l.limitBeforeDecrease > 0 && l.current <= ineffectiveLimitRatio*l.limitBeforeDecrease &&
		float64(median) > ineffectiveMedianRatio*float64(l.medianBeforeDecrease)
	switch {
	case l.baseLatency == 0 || median < l.baseLatency:
		l.baseLatency = median
	case ineffective:
		l.baseLatency, l.limitBeforeDecrease = median, 0
	case l.current <= l.floor():
		l.baseLatency += (median - l.baseLatency) / 4
	case !l.usedAtLeast(0.5):
		l.baseLatency += (median - l.baseLatency) / 64
	}
}

// usedAtLeast reports whether the running requests reached the given part of the limit within the window.
func (l *Limit) usedAtLeast(part float64) bool {
	return float64(l.peakRunning) >= part*float64(l.Current())
}

// floor returns the minimum of the limit.
func (l *Limit) floor() float64 { return max(1, float64(l.cap)/floorDivisor) }
