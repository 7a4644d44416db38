package queue

import "time"

// smoothing is the inverse weight of a new sample in a moving average. With 8, the average follows a change of load
// within a few tens of milliseconds, and a single slow request adds an eighth of its own time.
const smoothing = 8

// settled is the number of samples from which on the estimate of a class is used instead of that of all requests.
const settled = 4

// classes is the number of hash buckets for callers and keys; those that collide only share an estimate.
const classes = 1024

// class estimates how long requests of one caller and key take.
type class struct {
	n int
	// held is the mean time for which a permit was held, regardless of the outcome.
	held time.Duration
	// done and spread are the mean time and its mean deviation over requests that were answered in full. Requests cut
	// off by their deadline are left out: they would raise the estimate to the deadline itself.
	done, spread time.Duration
	nDone        int
}

// learn adds a sample to the estimates.
func (c *class) learn(held time.Duration, complete bool) {
	c.n++
	c.held = mean(c.held, held, c.n)
	if !complete {
		return
	}
	c.nDone++
	off := (held - c.done).Abs()
	if c.nDone == 1 {
		off = held / 2
	}
	c.done = mean(c.done, held, c.nDone)
	c.spread = mean(c.spread, off, c.nDone)
}

// mean returns the average with sample as its n-th sample: arithmetic at first, exponentially weighted from smoothing
// samples on.
func mean(old, sample time.Duration, n int) time.Duration {
	return old + (sample-old)/time.Duration(min(n, smoothing))
}

// median estimates the median of a stream of samples by small steps. It serves to recognize long requests and, unlike a
// mean, is hardly changed by a few of them.
type median struct{ value time.Duration }

// medianStep is the inverse of the share of the value by which a sample changes it.
const medianStep = 16

func (m *median) learn(sample time.Duration) {
	switch {
	case m.value == 0:
		m.value = sample
	case sample > m.value:
		m.value += max(1, m.value/medianStep)
	case sample < m.value:
		m.value -= m.value / medianStep
	}
}

// classOf returns the class of a request, by the FNV-1a hash of caller and key.
func (q *Queue) classOf(req Request) *class {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, s := range [...]string{req.Caller, "\x00", req.Key} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * prime
		}
	}
	return &q.byClass[h%classes]
}

// expected returns the time for which a request of the class is expected to hold a permit.
func (q *Queue) expected(c *class) time.Duration {
	if c.n >= settled {
		return c.held
	}
	return q.all.held
}

// need returns the time from its start within which a request of the class is likely to be answered.
func (q *Queue) need(c *class) time.Duration {
	if c.nDone >= settled {
		return c.done + c.spread
	}
	return q.all.done + q.all.spread
}

// longFactor is the multiple of the median hold time above which a class of requests counts as long.
const longFactor = 4

func (q *Queue) isLong(c *class) bool {
	return c.n >= settled && c.held > longFactor*q.typical.value
}

// longPlaces returns the number of permits that long requests may hold together, even while others are free.
//
// Running requests are not preempted. Without the bound, a dozen long requests that arrive while the service is idle
// take every permit, and all short ones wait for the first of them to end. Requests are long relative to the median of
// the service, so the bound does not apply where all requests take equally long.
func (q *Queue) longPlaces() int { return max(1, q.limits.Running/2) }

// wait estimates the waiting time of a request that arrives now from the number of requests that are served before it
// and the rate at which permits are returned.
func (q *Queue) wait(f *flow, key string, c *class, long bool) time.Duration {
	own, flows := 0, len(q.active)
	if f != nil {
		own = f.ahead(key)
	}
	if f == nil || f.waiting == 0 {
		flows++
	}
	// Callers are served in turns, so each other caller is served at most once before each request of this one.
	ahead := min(q.waiting, (own+1)*flows-1)
	wait := q.all.held * time.Duration(ahead+1) / time.Duration(q.limits.Running)
	if f != nil {
		wait = max(wait, f.pace*time.Duration(own+1))
	}
	if long {
		wait = max(wait, q.expected(c)*time.Duration(q.longWaiting+1)/time.Duration(q.longPlaces()))
	}
	return wait
}

// A queue that has not been empty for standingAfter is caused by load over capacity rather than by a burst. A request
// may then wait for at most 1/standingPart of the time it has to spare.
const (
	standingAfter = 100 * time.Millisecond
	standingPart  = 4
)

// patience returns how long a request may wait if it has slack to spare before its deadline.
//
// A queue that is always full serves no more requests than a short one, but each of them as late as its deadline
// allows. In a burst the whole slack may be used, since the queue drains after it.
func (q *Queue) patience(now time.Time, slack time.Duration) time.Duration {
	if q.waiting > 0 && now.Sub(q.idle) > standingAfter {
		return slack / standingPart
	}
	return slack
}

// The bounds of RetryAfter. After a shorter delay a request meets the same backlog; a longer one would depend on load
// that can't be predicted.
const (
	leastRetry = 5 * time.Millisecond
	mostRetry  = 5 * time.Second
)

// retryAfter returns the time in which the backlog drains, plus a random part of the time that it takes to serve the
// requests refused within the last second.
//
// After a fixed delay all refused callers would retry at once. The random part spreads the retries to the rate at which
// they can be served.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	perPlace := q.all.held / time.Duration(q.limits.Running)
	drain := perPlace * time.Duration(q.waiting+1)
	spread := perPlace * time.Duration(q.refused.count(now))
	d := drain + time.Duration(q.opts.Float64()*float64(spread+drain/2))
	return min(max(d, leastRetry), mostRetry)
}

// recent counts the events of the current and the previous second.
type recent struct {
	second    int64
	now, last int
}

// roll moves the counts on to the second of now.
func (r *recent) roll(now time.Time) {
	second := now.Unix()
	switch second - r.second {
	case 0:
	case 1:
		r.last, r.now = r.now, 0
	default:
		r.last, r.now = 0, 0
	}
	r.second = second
}

func (r *recent) add(now time.Time) {
	r.roll(now)
	r.now++
}

// count returns the approximate number of events within the last second.
func (r *recent) count(now time.Time) int {
	r.roll(now)
	left := time.Second - time.Duration(now.Nanosecond())
	return r.now + int(time.Duration(r.last)*left/time.Second)
}
