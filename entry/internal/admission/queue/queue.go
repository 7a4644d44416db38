package queue

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options configures a Queue.
type Options struct {
	// Notify is called with each waiter that is decided, within the call that decided it; nil means that nobody is
	// told.
	Notify func(w *Waiter)
	// Float64 draws the spread of RetryAfter from [0, 1); nil means rand.Float64.
	Float64 func() float64
}

// Queue holds the requests of one service on one host; it never blocks and is not safe for concurrent use.
//
// It answers more load than can be served, in whole or from a few callers or keys, and long work among
// short. Without it every request waits as long as the queue is, so all of them miss their deadlines at
// the load at which a few would have to; the caller that sends most is served most; and long requests
// take every place.
//
// A request that can't be answered in time is refused when it arrives: the requests before it, at the rate
// at which places were given back, and its own time say so. What waits is served in turns, first among
// callers, then among the keys of a caller, by the place-time that each has had, so that one long request
// counts as much as the many short ones that fit into its time. A full queue makes room for a caller that
// has fewer waiting. docs/design/admission.md gives the thresholds with the runs that chose them.
type Queue struct {
	opts   Options
	limits Limits

	flows   map[string]*flow
	active  []*flow
	byClass [classes]class
	all     class
	typical median
	refused recent

	// served is the place-time that a caller which always had something waiting has been given; callers that begin to
	// wait start from it.
	served time.Duration
	// idle is when last nobody waited.
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

// Running returns how many requests run.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Limits returns the limits in force.
func (q *Queue) Limits() Limits { return q.limits }

// SetLimits puts new limits in force at once: a higher one lets waiting requests run, a shorter queue refuses those
// that no longer fit.
func (q *Queue) SetLimits(now time.Time, limits Limits) {
	q.limits = limits
	q.fill(now)
	for q.waiting > q.limits.Waiting {
		q.refuse(now, q.newest(q.longestFlow()), ReasonFull)
	}
}

// Arrive decides about a request that arrives at now.
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

// Leave gives a place back and learns from it; complete says whether the answer was whole rather than cut short by a
// deadline or a failure.
func (q *Queue) Leave(now time.Time, g Grant, complete bool) {
	held := max(0, now.Sub(g.start))
	g.flow.served += held - g.cost
	g.class.learn(held, complete)
	q.all.learn(held, complete)
	q.typical.learn(held)
	q.release(now, g)
}

// Return gives back a place that was not used.
func (q *Queue) Return(now time.Time, g Grant) {
	g.flow.served -= g.cost
	q.release(now, g)
}

// Cancel ends the wait of a request whose caller gave up or whose LatestStart passed; a place that it was given
// meanwhile is given back.
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

func (q *Queue) start(now time.Time, f *flow, c *class, long bool) Grant {
	g := Grant{flow: f, class: c, start: now, cost: q.expected(c), long: long}
	q.served = max(q.served, f.served)
	// Time goes on for those that wait even while others arrive for the first time, or a caller that was
	// served lately would be overtaken by newcomers until its deadline.
	q.served += g.cost / time.Duration(len(q.active)+1)
	f.served += g.cost
	f.running++
	q.running++
	if long {
		q.longRunning++
	}
	return g
}

func (q *Queue) release(now time.Time, g Grant) {
	g.flow.running--
	q.running--
	if g.long {
		q.longRunning--
	}
	q.fill(now)
	q.trim(now)
}

// doubt is how many times longer than its time left a wait must seem before a request that was let in is refused: the
// estimate is a mean, and a request at the end of the line was let in by the same.
const doubt = 2

// trim refuses from the end of the longest line what can't be reached in time any more.
//
// When the upstream becomes slower, those that wait were let in by an estimate that no longer holds. Those
// at the end would wait to their last moment for nothing, and be told then.
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

// fill gives free places to waiting requests.
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

// next returns the queue whose oldest request runs next: of the callers below their share, or of all where each has it,
// the one with the least place-time.
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

func lessServed(a, b *keyQueue) *keyQueue {
	if a == nil || b.flow.served < a.flow.served {
		return b
	}
	return a
}

func (q *Queue) longFree() bool { return q.longRunning < q.longPlaces() }

func (q *Queue) shareOf(n int) int {
	return max(1, int(math.Ceil(q.limits.CallerShare*float64(n))))
}

// makeRoom refuses the newest request of the caller with the most waiting, if that caller has more than the one that
// arrives, or of one of its own keys.
//
// The newest is taken since it has waited least and would be served last.
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

// makeRoomIn does the same between the keys of one caller.
func (q *Queue) makeRoomIn(now time.Time, f *flow, key string) bool {
	if len(f.longest().items) <= f.waitingOf(key)+1 {
		return false
	}
	q.refuse(now, q.newest(f), ReasonDisplaced)
	return true
}

func (q *Queue) longestFlow() *flow {
	longest := q.active[0]
	for _, f := range q.active {
		if f.waiting > longest.waiting {
			longest = f
		}
	}
	return longest
}

func (q *Queue) newest(f *flow) *Waiter {
	items := f.longest().items
	return items[len(items)-1]
}

func (q *Queue) refuse(now time.Time, w *Waiter, reason Reason) {
	q.remove(w)
	w.Verdict, w.Refusal = VerdictRefuse, q.refusal(now, reason)
	q.opts.Notify(w)
}

func (q *Queue) turnAway(now time.Time, reason Reason) Arrival {
	return Arrival{Verdict: VerdictRefuse, Refusal: q.refusal(now, reason)}
}

func (q *Queue) refusal(now time.Time, reason Reason) Refusal {
	q.refused.add(now)
	return Refusal{Reason: reason, RetryAfter: q.retryAfter(now)}
}
