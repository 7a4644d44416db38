package queue

import "time"

// smoothing is the weight of a new sample in an estimate, as one part in smoothing; eight samples follow a change of
// load within a few tens of milliseconds and one straggler moves the mean by an eighth of itself.
const smoothing = 8

// settled is how many samples of a class it takes before it is believed rather than the mean of all.
const settled = 4

// classes is the number of kinds of requests told apart; two callers or keys that fall together only share an estimate.
const classes = 1024

// class estimates the time that requests of one caller and key take.
type class struct {
	n int
	// held is the mean time that a place was taken, whatever the outcome.
	held time.Duration
	// done and spread are the mean time and mean deviation of those that were answered in full; requests cut off by
	// their deadline would teach that every request needs exactly its deadline.
	done, spread time.Duration
	nDone        int
}

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

// mean is the arithmetic mean for the first samples and an exponential one after.
func mean(old, sample time.Duration, n int) time.Duration {
	return old + (sample-old)/time.Duration(min(n, smoothing))
}

// median follows the middle of a stream of samples by small steps; unlike a mean, it is not moved by a few long
// requests, which it serves to recognise.
type median struct{ value time.Duration }

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

// classOf hashes caller and key by FNV-1a.
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

// expected is how long a request of the class is going to take its place.
func (q *Queue) expected(c *class) time.Duration {
	if c.n >= settled {
		return c.held
	}
	return q.all.held
}

// need is the time within which a request of the class is likely to be answered once it runs.
func (q *Queue) need(c *class) time.Duration {
	if c.nDone >= settled {
		return c.done + c.spread
	}
	return q.all.done + q.all.spread
}

// longFactor is how many times longer than the median a class of requests takes to be held back as long.
const longFactor = 4

func (q *Queue) isLong(c *class) bool {
	return c.n >= settled && c.held > longFactor*q.typical.value
}

// longPlaces is how many places long requests may take together, even while others are free.
//
// Places can't be taken back from a request that runs. Without a bound, a dozen long requests that arrive
// in a quiet moment take every place and all short ones wait for the first of them to end. Long is relative
// to the median of the service, so where all requests are long none is bounded.
func (q *Queue) longPlaces() int { return max(1, q.limits.Running/2) }

// wait estimates how long a request that arrives now would wait: the requests that are served before it, at the rate at
// which places have been given back.
func (q *Queue) wait(f *flow, key string, c *class, long bool) time.Duration {
	own, flows := 0, len(q.active)
	if f != nil {
		own = f.ahead(key)
	}
	if f == nil || f.waiting == 0 {
		flows++
	}
	// Served in turns, each other caller goes before this one at most once for each request it has waiting.
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

// A queue that has not been empty for standingAfter is no burst but load over capacity; who waits in it then may spend
// one part in standingPart of the time to spare.
const (
	standingAfter = 100 * time.Millisecond
	standingPart  = 4
)

// patience is how long a request may wait that has slack to spare before its deadline.
//
// A queue that is always full serves no more requests than a short one, but each of them as late as its
// deadline allows. A burst may use the whole slack, since the queue ends with it.
func (q *Queue) patience(now time.Time, slack time.Duration) time.Duration {
	if q.waiting > 0 && now.Sub(q.idle) > standingAfter {
		return slack / standingPart
	}
	return slack
}

// The bounds of RetryAfter: shorter would come back within the same backlog, longer is a guess about load that is not
// here yet.
const (
	leastRetry = 5 * time.Millisecond
	mostRetry  = 5 * time.Second
)

// retryAfter is the time the backlog takes to drain and, spread at random on top of it, the time it takes to serve
// those refused within the last second.
//
// A fixed value would send every refused caller back at once. The spread makes those refused come back at the rate at
// which they can be served.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	perPlace := q.all.held / time.Duration(q.limits.Running)
	drain := perPlace * time.Duration(q.waiting+1)
	spread := perPlace * time.Duration(q.refused.count(now))
	d := drain + time.Duration(q.opts.Float64()*float64(spread+drain/2))
	return min(max(d, leastRetry), mostRetry)
}

// recent counts events of the current and the last second.
type recent struct {
	second    int64
	now, last int
}

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

// count returns the events of about the last second.
func (r *recent) count(now time.Time) int {
	r.roll(now)
	left := time.Second - time.Duration(now.Nanosecond())
	return r.now + int(time.Duration(r.last)*left/time.Second)
}
