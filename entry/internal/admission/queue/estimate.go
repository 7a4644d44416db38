package queue

import "time"

// smoothingSamples is the inverse weight of a new sample in a moving average. With 8, the average follows a change of
// load within a few tens of milliseconds, and a single slow request adds an eighth of its own time.
const smoothingSamples = 8

// minClassSamples is the number of samples from which on the estimate of a class is used instead of that of all
// requests.
const minClassSamples = 4

// classBuckets is the number of hash buckets for callers and keys; those that collide only share an estimate.
const classBuckets = 1024

// requestClass estimates how long requests of one caller and key take.
type requestClass struct {
	samples int
	// meanHeld is the mean time for which a permit was held, regardless of the outcome.
	meanHeld time.Duration
	// meanComplete and deviation are the mean time and its mean deviation over requests that were answered in full.
	// Requests cut off by their deadline are left out: they would raise the estimate to the deadline itself.
	meanComplete, deviation time.Duration
	completeSamples         int
}

// record adds a sample to the estimates.
func (c *requestClass) record(held time.Duration, complete bool) {
	c.samples++
	c.meanHeld = movingAverage(c.meanHeld, held, c.samples)
	if !complete {
		return
	}
	c.completeSamples++
	off := (held - c.meanComplete).Abs()
	if c.completeSamples == 1 {
		off = held / 2
	}
	c.meanComplete = movingAverage(c.meanComplete, held, c.completeSamples)
	c.deviation = movingAverage(c.deviation, off, c.completeSamples)
}

// movingAverage returns the average with sample as its n-th sample: arithmetic at first, exponentially weighted
// from smoothingSamples samples on.
func movingAverage(old, sample time.Duration, n int) time.Duration {
	return old + (sample-old)/time.Duration(min(n, smoothingSamples))
}

// median estimates the median of a stream of samples by small steps. It serves to recognize long requests and, unlike a
// mean, is hardly changed by a few of them.
type median struct{ value time.Duration }

// medianStepDivisor is the inverse of the share of the value by which a sample changes it.
const medianStepDivisor = 16

func (m *median) record(sample time.Duration) {
	switch {
	case m.value == 0:
		m.value = sample
	case sample > m.value:
		m.value += max(1, m.value/medianStepDivisor)
	case sample < m.value:
		m.value -= m.value / medianStepDivisor
	}
}

// classOf returns the class of a request, by the FNV-1a hash of caller and key.
func (q *Queue) classOf(req Request) *requestClass {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, s := range [...]string{req.Caller, "\x00", req.Key} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * prime
		}
	}
	return &q.byClass[h%classBuckets]
}

// expectedHold returns the time for which a request of the class is expected to hold a permit.
func (q *Queue) expectedHold(c *requestClass) time.Duration {
	if c.samples >= minClassSamples {
		return c.meanHeld
	}
	return q.overall.meanHeld
}

// expectedCompletion returns the time from its start within which a request of the class is likely to be answered.
func (q *Queue) expectedCompletion(c *requestClass) time.Duration {
	if c.completeSamples >= minClassSamples {
		return c.meanComplete + c.deviation
	}
	return q.overall.meanComplete + q.overall.deviation
}

// longFactor is the multiple of the median hold time above which a class of requests counts as long.
const longFactor = 4

func (q *Queue) isLong(c *requestClass) bool {
	return c.samples >= minClassSamples && c.meanHeld > longFactor*q.medianHeld.value
}

// maxLongRunning returns the number of permits that long requests may hold together, even while others are free.
//
// Running requests are not preempted. Without the bound, a dozen long requests that arrive while the service is idle
// take every permit, and all short ones wait for the first of them to end. Requests are long relative to the median of
// the service, so the bound does not apply where all requests take equally long.
func (q *Queue) maxLongRunning() int { return max(1, q.limits.Running/2) }

// estimateWait estimates the waiting time of a request that arrives now from the number of requests that are served
// before it and the rate at which permits are returned.
func (q *Queue) estimateWait(f *flow, key string, c *requestClass, long bool) time.Duration {
	own, flows := 0, len(q.active)
	if f != nil {
		own = f.requestsAhead(key)
	}
	if f == nil || f.waiting == 0 {
		flows++
	}
	// Callers are served in turns, so each other caller is served at most once before each request of this one.
	ahead := min(q.waiting, (own+1)*flows-1)
	wait := q.overall.meanHeld * time.Duration(ahead+1) / time.Duration(q.limits.Running)
	if f != nil {
		wait = max(wait, f.startInterval*time.Duration(own+1))
	}
	if long {
		wait = max(wait, q.expectedHold(c)*time.Duration(q.longWaiting+1)/time.Duration(q.maxLongRunning()))
	}
	return wait
}

// A queue that has not been empty for standingQueueAfter is caused by load over capacity rather than by a burst. A
// request may then wait for at most 1/standingQueueDivisor of the time it has to spare.
const (
	standingQueueAfter   = 100 * time.Millisecond
	standingQueueDivisor = 4
)

// maxWait returns how long a request may wait if it has slack to spare before its deadline.
//
// A queue that is always full serves no more requests than a short one, but each of them as late as its deadline
// allows. In a burst the whole slack may be used, since the queue drains after it.
func (q *Queue) maxWait(now time.Time, slack time.Duration) time.Duration {
	if q.waiting > 0 && now.Sub(q.lastEmpty) > standingQueueAfter {
		return slack / standingQueueDivisor
	}
	return slack
}

// The bounds of RetryAfter. After a shorter delay a request meets the same backlog; a longer one would depend on load
// that can't be predicted.
const (
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns the time in which the backlog drains, plus a random part of the time that it takes to serve the
// requests refused within the last second.
//
// After a fixed delay all refused callers would retry at once. The random part spreads the retries to the rate at which
// they can be served.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	perRequest := q.overall.meanHeld / time.Duration(q.limits.Running)
	drain := perRequest * time.Duration(q.waiting+1)
	spread := perRequest * time.Duration(q.recentRefusals.count(now))
	d := drain + time.Duration(q.opts.Float64()*float64(spread+drain/2))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// secondCounter counts the events of the current and the previous second.
type secondCounter struct {
	second            int64
	current, previous int
}

// advance moves the counts on to the second of now.
func (r *secondCounter) advance(now time.Time) {
	second := now.Unix()
	switch second - r.second {
	case 0:
	case 1:
		r.previous, r.current = r.current, 0
	default:
		r.previous, r.current = 0, 0
	}
	r.second = second
}

func (r *secondCounter) add(now time.Time) {
	r.advance(now)
	r.current++
}

// count returns the approximate number of events within the last second.
func (r *secondCounter) count(now time.Time) int {
	r.advance(now)
	left := time.Second - time.Duration(now.Nanosecond())
	return r.current + int(time.Duration(r.previous)*left/time.Second)
}
