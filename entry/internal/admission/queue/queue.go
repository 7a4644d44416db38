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

	flows   map[string]*flow
	active  []*flow
	byClass [classes]class
	all     class
	typical median
	refused recent

	// served is the virtual time of the queue: the permit time given to a caller that always had requests queued.
	// Callers that begin to wait start from it.
	served time.Duration
	// idle is the last time at which no request waited.
	idle                     time.Time
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
	q.fill(now)
	for q.waiting > q.limits.Waiting {
		q.refuse(now, q.newest(q.longestFlow()), ReasonFull)
	}
}

// Arrive decides whether a request that arrives at now runs, waits or is refused.
func (q *Queue) Arrive(now time.Time, req Request) Arrival {
	if !now.Before(req.Deadline) {
		return q.turnAway(now, ReasonLate)
	}
	c := q.classOf(req)
	long := q.isLong(c)
	if q.running < q.limits.Running && (!long || q.longFree()) {
		f := q.flow(req.Caller)
		f.served = max(f.served, q.served)
		return Arrival{Verdict: VerdictRun, Grant: q.start(now, f, c, long)}
	}
	f := q.flows[req.Caller]
	if q.wait(f, req.Key, c, long) > q.patience(now, req.Deadline.Sub(now)-q.need(c)) {
		return q.turnAway(now, ReasonLate)
	}
	if f != nil && len(q.active) > 1 && f.waiting >= q.shareOf(q.limits.Waiting) && !q.makeRoomIn(now, f, req.Key) {
		return q.turnAway(now, ReasonShare)
	}
	if q.waiting >= q.limits.Waiting && !q.makeRoom(now, f, req.Key) {
		return q.turnAway(now, ReasonFull)
	}
	if q.waiting == 0 {
		q.idle = now
	}
	return Arrival{Verdict: VerdictWait, Waiter: q.push(req, q.flow(req.Caller), c, long)}
}

// Leave returns a permit and updates the estimates; complete reports whether the request was answered in full rather
// than cut short by a deadline or a failure.
func (q *Queue) Leave(now time.Time, g Grant, complete bool) {
	held := max(0, now.Sub(g.start))
	g.flow.served += held - g.cost
	g.class.learn(held, complete)
	q.all.learn(held, complete)
	q.typical.learn(held)
	q.release(now, g)
}

// Return returns a permit that was not used.
func (q *Queue) Return(now time.Time, g Grant) {
	g.flow.served -= g.cost
	q.release(now, g)
}

// Cancel ends the wait of a request whose caller canceled it or whose LatestStart has passed; a permit that it was
// granted meanwhile is returned.
func (q *Queue) Cancel(now time.Time, w *Waiter, reason Reason) Refusal {
	switch w.Verdict {
	case VerdictWait:
		q.refuse(now, w, reason)
	case VerdictRun:
		q.Return(now, w.Grant)
		w.Verdict, w.Refusal = VerdictRefuse, Refusal{Reason: reason, RetryAfter: q.retryAfter(now)}
	}
	return w.Refusal
}

// start takes a permit for a request and charges its expected cost to the flow.
func (q *Queue) start(now time.Time, f *flow, c *class, long bool) Grant {
	g := Grant{flow: f, class: c, start: now, cost: q.expected(c), long: long}
	q.served = max(q.served, f.served)
	// The virtual time advances with each start, also when new callers arrive. Otherwise new callers would overtake a
	// recently served caller until its deadline.
	q.served += g.cost / time.Duration(len(q.active)+1)
	f.served += g.cost
	f.running++
	q.running++
	if long {
		q.longRunning++
	}
	return g
}

// release frees a permit and passes it on.
func (q *Queue) release(now time.Time, g Grant) {
	g.flow.running--
	q.running--
	if g.long {
		q.longRunning--
	}
	q.fill(now)
	q.trim(now)
}

// doubt is the factor by which the estimated wait must exceed the remaining time before a queued request is refused.
// The estimate is a mean, and the last request in the queue was admitted by the same estimate.
const doubt = 2

// trim refuses requests at the end of the longest queue that can no longer be started in time.
//
// When the upstream slows down, the estimate that queued requests were admitted by no longer holds. Without trim, the
// last ones wait until LatestStart and are refused only then.
func (q *Queue) trim(now time.Time) {
	for q.waiting > 0 {
		f := q.longestFlow()
		wait := q.all.held * time.Duration(min(q.waiting, f.waiting*len(q.active))) / time.Duration(q.limits.Running)
		w := q.newest(f)
		if !now.Add(max(wait, f.pace*time.Duration(f.waiting)) / doubt).After(w.LatestStart) {
			return
		}
		q.refuse(now, w, ReasonLate)
	}
}

// fill grants free permits to queued requests and refuses those whose LatestStart has passed.
func (q *Queue) fill(now time.Time) {
	for q.running < q.limits.Running {
		k := q.next()
		if k == nil {
			return
		}
		w := k.items[0]
		if now.After(w.LatestStart) {
			q.refuse(now, w, ReasonLate)
			continue
		}
		k.flow.started(now)
		q.remove(w)
		k.flow.keyServed = max(k.flow.keyServed, k.served)
		w.Grant = q.start(now, k.flow, w.class, w.Long)
		k.served += w.Grant.cost
		w.Verdict = VerdictRun
		q.opts.Notify(w)
	}
}

// next returns the queue whose oldest request runs next, that of the caller with the least virtual time. Callers below
// their share go before those that have reached it.
func (q *Queue) next() *keyQueue {
	share, longFree := q.shareOf(q.limits.Running), q.longFree()
	var best, over *keyQueue
	for _, f := range q.active {
		k := f.next(longFree)
		switch {
		case k == nil:
		case f.running >= share:
			over = lessServed(over, k)
		default:
			best = lessServed(best, k)
		}
	}
	if best == nil {
		return over
	}
	return best
}

// lessServed returns the queue whose caller has the lower virtual time, a if they are equal.
func lessServed(a, b *keyQueue) *keyQueue {
	if a == nil || b.flow.served < a.flow.served {
		return b
	}
	return a
}

// longFree reports whether one more long request may run.
func (q *Queue) longFree() bool { return q.longRunning < q.longPlaces() }

// shareOf returns the share of n that one caller may use, at least 1.
func (q *Queue) shareOf(n int) int {
	return max(1, int(math.Ceil(q.limits.CallerShare*float64(n))))
}

// makeRoom refuses the newest request of the caller with the most queued, if that caller has more than the arriving
// one; otherwise one of the arriving caller's own keys may give way, as in makeRoomIn.
//
// The newest request is chosen since it has waited the least and would be served last.
func (q *Queue) makeRoom(now time.Time, f *flow, key string) bool {
	if q.waiting == 0 {
		return false
	}
	longest, own := q.longestFlow(), 0
	if f != nil {
		own = f.waiting
	}
	if longest.waiting <= own+1 {
		return f != nil && own > 0 && q.makeRoomIn(now, f, key)
	}
	q.refuse(now, q.newest(longest), ReasonDisplaced)
	return true
}

// makeRoomIn refuses the newest request of the caller's key with the most queued, if that key has more than the one
// given.
func (q *Queue) makeRoomIn(now time.Time, f *flow, key string) bool {
	if len(f.longest().items) <= f.waitingOf(key)+1 {
		return false
	}
	q.refuse(now, q.newest(f), ReasonDisplaced)
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

// newest returns the newest request of the caller's key with the most queued.
func (q *Queue) newest(f *flow) *Waiter {
	items := f.longest().items
	return items[len(items)-1]
}

func (q *Queue) refuse(now time.Time, w *Waiter, reason Reason) {
	q.remove(w)
	w.Verdict, w.Refusal = VerdictRefuse, q.refusal(now, reason)
	q.opts.Notify(w)
}

// turnAway refuses a request that arrives.
func (q *Queue) turnAway(now time.Time, reason Reason) Arrival {
	return Arrival{Verdict: VerdictRefuse, Refusal: q.refusal(now, reason)}
}

func (q *Queue) refusal(now time.Time, reason Reason) Refusal {
	q.refused.add(now)
	return Refusal{Reason: reason, RetryAfter: q.retryAfter(now)}
}
