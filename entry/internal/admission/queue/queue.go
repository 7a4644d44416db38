package queue

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options configures a Queue.
type Options struct {
	// Notify is called with each waiter that is granted a permit or refused, within the call that decides it; it may be
	// nil.
	Notify func(w *Waiter)
	// Float64 returns a random number in [0, 1) for the jitter of RetryAfter; nil means rand.Float64.
	Float64 func() float64
}

// Queue holds the running and queued requests of one service on one host. It never blocks and is not safe for
// concurrent use.
//
// It handles overload, whether from all callers or from a few callers or keys, and long requests among short ones. With
// a FIFO queue every request waits for the whole queue, so all miss their deadlines under a load at which only a few
// have to; the caller that sends the most requests gets the most served; and long requests hold every permit.
//
// A request that can't be answered in time is refused on arrival, as estimated from the number of requests before it,
// the rate at which permits are returned and its own expected duration. Queued requests are served by fair queueing,
// first among callers, then among the keys of a caller. The measure is the time for which permits are held, so that one
// long request counts as much as the short ones that fit into its time. A full queue displaces a request of the caller
// with the most queued in favor of a caller with fewer. docs/design/admission.md explains the thresholds.
type Queue struct {
	opts   Options
	limits Limits

	flows          map[string]*flow
	active         []*flow
	byClass        [classBuckets]requestClass
	overall        requestClass
	medianHeld     median
	recentRefusals secondCounter

	// virtualTime is the virtual time of the queue: the permit time given to a caller that always had requests queued.
	// Callers that begin to wait start from it.
	virtualTime time.Duration
	// lastEmpty is the last time at which no request waited.
	lastEmpty                time.Time
	running, waiting         int
	longRunning, longWaiting int
}

// New returns an empty queue.
func New(limits Limits, opts Options) *Queue {
	if opts.Notify == nil {
		opts.Notify = func(*Waiter) {}
	}
	if opts.Float64 == nil {
		opts.Float64 = rand.Float64
	}
	return &Queue{opts: opts, limits: limits, flows: map[string]*flow{}}
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return q.waiting }

// Limits returns the limits in force.
func (q *Queue) Limits() Limits { return q.limits }

// SetLimits applies new limits at once: with a higher limit queued requests start, with a shorter queue those that no
// longer fit are refused.
func (q *Queue) SetLimits(now time.Time, limits Limits) {
	q.limits = limits
	q.grantPermits(now)
	for q.waiting > q.limits.Waiting {
		q.refuse(now, q.newestWaiter(q.longestFlow()), ReasonFull)
	}
}

// Arrive decides whether a request that arrives at now runs, waits or is refused.
func (q *Queue) Arrive(now time.Time, req Request) Arrival {
	if !now.Before(req.Deadline) {
		return q.refuseArrival(now, ReasonLate)
	}
	c := q.classOf(req)
	long := q.isLong(c)
	if q.running < q.limits.Running && (!long || q.longPermitFree()) {
		f := q.flowOf(req.Caller)
		f.virtualTime = max(f.virtualTime, q.virtualTime)
		return Arrival{Verdict: VerdictRun, Grant: q.start(now, f, c, long)}
	}
	f := q.flows[req.Caller]
	if q.estimateWait(f, req.Key, c, long) > q.maxWait(now, req.Deadline.Sub(now)-q.expectedCompletion(c)) {
		return q.refuseArrival(now, ReasonLate)
	}
	if f != nil && len(q.active) > 1 && f.waiting >= q.callerShareOf(q.limits.Waiting) && !q.displaceOwn(now, f, req.Key) {
		return q.refuseArrival(now, ReasonShare)
	}
	if q.waiting >= q.limits.Waiting && !q.displaceOther(now, f, req.Key) {
		return q.refuseArrival(now, ReasonFull)
	}
	if q.waiting == 0 {
		q.lastEmpty = now
	}
	return Arrival{Verdict: VerdictWait, Waiter: q.enqueue(req, q.flowOf(req.Caller), c, long)}
}

// Release returns a permit and updates the estimates; complete reports whether the request was answered in full rather
// than cut short by a deadline or a failure.
func (q *Queue) Release(now time.Time, g Grant, complete bool) {
	held := max(0, now.Sub(g.start))
	g.flow.virtualTime += held - g.cost
	g.class.record(held, complete)
	q.overall.record(held, complete)
	q.medianHeld.record(held)
	q.freePermit(now, g)
}

// ReleaseUnused returns a permit that was not used.
func (q *Queue) ReleaseUnused(now time.Time, g Grant) {
	g.flow.virtualTime -= g.cost
	q.freePermit(now, g)
}

// Cancel ends the wait of a request whose caller canceled it or whose LatestStart has passed; a permit that it was
// granted meanwhile is returned.
func (q *Queue) Cancel(now time.Time, w *Waiter, reason Reason) Refusal {
	switch w.Verdict {
	case VerdictWait:
		q.refuse(now, w, reason)
	case VerdictRun:
		q.ReleaseUnused(now, w.Grant)
		w.Verdict, w.Refusal = VerdictRefuse, Refusal{Reason: reason, RetryAfter: q.retryAfter(now)}
	}
	return w.Refusal
}

// start takes a permit for a request and charges its expected cost to the flow.
func (q *Queue) start(now time.Time, f *flow, c *requestClass, long bool) Grant {
	g := Grant{flow: f, class: c, start: now, cost: q.expectedHold(c), long: long}
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	// The virtual time advances with each start, also when new callers arrive. Otherwise new callers would overtake a
	// recently served caller until its deadline.
	q.virtualTime += g.cost / time.Duration(len(q.active)+1)
	f.virtualTime += g.cost
	f.running++
	q.running++
	if long {
		q.longRunning++
	}
	return g
}

// freePermit frees a permit and grants it to the next queued request, if any.
func (q *Queue) freePermit(now time.Time, g Grant) {
	g.flow.running--
	q.running--
	if g.long {
		q.longRunning--
	}
	q.grantPermits(now)
	q.trim(now)
}

// trimTolerance is the factor by which the estimated wait must exceed the remaining time before a queued request is
// refused. The estimate is a mean, and the last request in the queue was admitted by the same estimate.
const trimTolerance = 2

// trim refuses requests at the end of the longest queue that can no longer be started in time.
//
// When the upstream slows down, the estimate that queued requests were admitted by no longer holds. Without trim, the
// last ones wait until LatestStart and are refused only then.
func (q *Queue) trim(now time.Time) {
	for q.waiting > 0 {
		f := q.longestFlow()
		wait := q.overall.meanHeld * time.Duration(min(q.waiting, f.waiting*len(q.active))) / time.Duration(q.limits.Running)
		w := q.newestWaiter(f)
		if !now.Add(max(wait, f.startInterval*time.Duration(f.waiting)) / trimTolerance).After(w.LatestStart) {
			return
		}
		q.refuse(now, w, ReasonLate)
	}
}

// grantPermits grants free permits to queued requests and refuses those whose LatestStart has passed.
func (q *Queue) grantPermits(now time.Time) {
	for q.running < q.limits.Running {
		k := q.nextKey()
		if k == nil {
			return
		}
		w := k.items[0]
		if now.After(w.LatestStart) {
			q.refuse(now, w, ReasonLate)
			continue
		}
		k.flow.recordStart(now)
		q.remove(w)
		k.flow.keyVirtualTime = max(k.flow.keyVirtualTime, k.virtualTime)
		w.Grant = q.start(now, k.flow, w.class, w.Long)
		k.virtualTime += w.Grant.cost
		w.Verdict = VerdictRun
		q.opts.Notify(w)
	}
}

// nextKey returns the queue whose oldest request runs next, that of the caller with the least virtual time. Callers
// below their share go before those that have reached it.
func (q *Queue) nextKey() *keyQueue {
	share, longFree := q.callerShareOf(q.limits.Running), q.longPermitFree()
	var best, over *keyQueue
	for _, f := range q.active {
		k := f.nextKey(longFree)
		switch {
		case k == nil:
		case f.running >= share:
			over = lowerVirtualTime(over, k)
		default:
			best = lowerVirtualTime(best, k)
		}
	}
	if best == nil {
		return over
	}
	return best
}

// lowerVirtualTime returns the queue whose caller has the lower virtual time, a if they are equal.
func lowerVirtualTime(a, b *keyQueue) *keyQueue {
	if a == nil || b.flow.virtualTime < a.flow.virtualTime {
		return b
	}
	return a
}

// longPermitFree reports whether one more long request may run.
func (q *Queue) longPermitFree() bool { return q.longRunning < q.maxLongRunning() }

// callerShareOf returns the share of n that one caller may use, at least 1.
func (q *Queue) callerShareOf(n int) int {
	return max(1, int(math.Ceil(q.limits.CallerShare*float64(n))))
}

// displaceOther refuses the newest request of the caller with the most queued, if that caller has more than the
// arriving one; otherwise displaceOwn may displace a request of the arriving caller itself.
//
// The newest request is chosen since it has waited the least and would be served last.
func (q *Queue) displaceOther(now time.Time, f *flow, key string) bool {
	if q.waiting == 0 {
		return false
	}
	longest, own := q.longestFlow(), 0
	if f != nil {
		own = f.waiting
	}
	if longest.waiting <= own+1 {
		return f != nil && own > 0 && q.displaceOwn(now, f, key)
	}
	q.refuse(now, q.newestWaiter(longest), ReasonDisplaced)
	return true
}

// displaceOwn refuses the newest request of the caller's key with the most queued, if that key has more than the one
// given.
func (q *Queue) displaceOwn(now time.Time, f *flow, key string) bool {
	if len(f.longestKey().items) <= f.waitingOf(key)+1 {
		return false
	}
	q.refuse(now, q.newestWaiter(f), ReasonDisplaced)
	return true
}

// longestFlow returns the caller with the most queued requests.
func (q *Queue) longestFlow() *flow {
	longest := q.active[0]
	for _, f := range q.active {
		if f.waiting > longest.waiting {
			longest = f
		}
	}
	return longest
}

// newestWaiter returns the newest request of the caller's key with the most queued.
func (q *Queue) newestWaiter(f *flow) *Waiter {
	items := f.longestKey().items
	return items[len(items)-1]
}

func (q *Queue) refuse(now time.Time, w *Waiter, reason Reason) {
	q.remove(w)
	w.Verdict, w.Refusal = VerdictRefuse, q.newRefusal(now, reason)
	q.opts.Notify(w)
}

// refuseArrival refuses a request that arrives.
func (q *Queue) refuseArrival(now time.Time, reason Reason) Arrival {
	return Arrival{Verdict: VerdictRefuse, Refusal: q.newRefusal(now, reason)}
}

func (q *Queue) newRefusal(now time.Time, reason Reason) Refusal {
	q.recentRefusals.add(now)
	return Refusal{Reason: reason, RetryAfter: q.retryAfter(now)}
}
