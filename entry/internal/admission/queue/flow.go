package queue

import (
	"slices"
	"time"
)

// flow holds the state of one caller.
type flow struct {
	caller string
	// virtualTime is the virtual time of the caller: the time for which it held permits, on the scale of
	// Queue.virtualTime. The caller with the least is served next.
	virtualTime time.Duration
	running     int
	waiting     int
	// startInterval is the mean interval between the starts of two queued requests of the caller, or zero if fewer than
	// two have started since requests of the caller began to wait.
	startInterval  time.Duration
	startIntervals int
	lastStart      time.Time
	keys           []*keyQueue
	// keyVirtualTime is the virtual time among the keys of the caller, as Queue.virtualTime is among callers.
	keyVirtualTime time.Duration
}

// keyQueue holds the queued requests of one caller and key, oldest first.
type keyQueue struct {
	flow *flow
	key  string
	// virtualTime is the virtual time of the key, on the scale of flow.keyVirtualTime.
	virtualTime time.Duration
	items       []*Waiter
}

// keyQueue returns the queue of a key and creates it if there is none.
func (f *flow) keyQueue(key string) *keyQueue {
	for _, k := range f.keys {
		if k.key == key {
			return k
		}
	}
	k := &keyQueue{flow: f, key: key, virtualTime: f.keyVirtualTime}
	f.keys = append(f.keys, k)
	return k
}

// nextKey returns the queue of the key to serve next, or nil if each starts with a long request and longFree is not
// set.
func (f *flow) nextKey(longFree bool) *keyQueue {
	var best *keyQueue
	for _, k := range f.keys {
		if k.items[0].Long && !longFree {
			continue
		}
		if best == nil || k.virtualTime < best.virtualTime {
			best = k
		}
	}
	return best
}

// recordStart records that a queued request of the caller was granted a permit.
func (f *flow) recordStart(now time.Time) {
	if !f.lastStart.IsZero() {
		f.startIntervals++
		f.startInterval = movingAverage(f.startInterval, now.Sub(f.lastStart), f.startIntervals)
	}
	f.lastStart = now
}

// requestsAhead returns how many queued requests of the caller are served before one of the key that arrives now; the
// keys are served in turns.
func (f *flow) requestsAhead(key string) int {
	own, keys := f.waitingOf(key), len(f.keys)
	if own == 0 {
		keys++
	}
	return min(f.waiting, (own+1)*keys-1)
}

// longestKey returns the queue of the key with the most queued requests.
func (f *flow) longestKey() *keyQueue {
	return slices.MaxFunc(f.keys, func(a, b *keyQueue) int { return len(a.items) - len(b.items) })
}

// waitingOf returns the number of queued requests of the key.
func (f *flow) waitingOf(key string) int {
	for _, k := range f.keys {
		if k.key == key {
			return len(k.items)
		}
	}
	return 0
}

// maxIdleFlows is the number of idle callers whose state is kept, so that clients that send a new caller name with each
// request can't exhaust the memory.
const maxIdleFlows = 1024

// flowOf returns the flow of a caller and creates it if there is none.
func (q *Queue) flowOf(caller string) *flow {
	if f := q.flows[caller]; f != nil {
		return f
	}
	if len(q.flows) >= maxIdleFlows+q.limits.Running+q.limits.Waiting {
		q.evictIdleFlows()
	}
	f := &flow{caller: caller}
	q.flows[caller] = f
	return f
}

// evictIdleFlows removes the flows of callers without a running or queued request.
func (q *Queue) evictIdleFlows() {
	for name, f := range q.flows {
		if f.running == 0 && f.waiting == 0 {
			delete(q.flows, name)
		}
	}
}

// enqueue appends a request to the queue of its caller and key.
func (q *Queue) enqueue(req Request, f *flow, c *requestClass, long bool) *Waiter {
	if f.waiting == 0 {
		// Idle time gives a caller no credit; otherwise it could take every permit for as long as it had been idle.
		f.virtualTime = max(f.virtualTime, q.virtualTime)
		q.active = append(q.active, f)
	}
	k := f.keyQueue(req.Key)
	w := &Waiter{
		Verdict: VerdictWait, LatestStart: req.Deadline.Add(-q.expectedCompletion(c)), key: k, class: c, Long: long,
	}
	k.items = append(k.items, w)
	f.waiting++
	q.waiting++
	if long {
		q.longWaiting++
	}
	return w
}

// remove removes a waiter from its queue.
func (q *Queue) remove(w *Waiter) {
	k, f := w.key, w.key.flow
	k.items = slices.DeleteFunc(k.items, func(other *Waiter) bool { return other == w })
	if len(k.items) == 0 {
		f.keys = slices.DeleteFunc(f.keys, func(other *keyQueue) bool { return other == k })
	}
	f.waiting--
	q.waiting--
	if w.Long {
		q.longWaiting--
	}
	if f.waiting == 0 {
		f.startInterval, f.startIntervals, f.lastStart = 0, 0, time.Time{}
		q.active = slices.DeleteFunc(q.active, func(other *flow) bool { return other == f })
	}
}
