package queue

import (
	"slices"
	"time"
)

// flow holds the state of one caller.
type flow struct {
	caller string
	// served is the virtual time of the caller: the time for which it held permits, on the scale of Queue.served. The
	// caller with the least is served next.
	served  time.Duration
	running int
	waiting int
	// pace is the mean interval between the starts of two queued requests of the caller, or zero if fewer than two have
	// started since requests of the caller began to wait.
	pace      time.Duration
	paces     int
	lastStart time.Time
	keys      []*keyQueue
	// keyServed is the virtual time among the keys of the caller, as Queue.served is among callers.
	keyServed time.Duration
}

// keyQueue holds the queued requests of one caller and key, oldest first.
type keyQueue struct {
	flow *flow
	key  string
	// served is the virtual time of the key, on the scale of flow.keyServed.
	served time.Duration
	items  []*Waiter
}

// keyQueue returns the queue of a key and creates it if there is none.
func (f *flow) keyQueue(key string) *keyQueue {
	for _, k := range f.keys {
		if k.key == key {
			return k
		}
	}
	k := &keyQueue{flow: f, key: key, served: f.keyServed}
	f.keys = append(f.keys, k)
	return k
}

// next returns the queue of the key to serve next, or nil if each starts with a long request and longFree is not set.
func (f *flow) next(longFree bool) *keyQueue {
	var best *keyQueue
	for _, k := range f.keys {
		if k.items[0].Long && !longFree {
			continue
		}
		if best == nil || k.served < best.served {
			best = k
		}
	}
	return best
}

// started records that a queued request of the caller was granted a permit.
func (f *flow) started(now time.Time) {
	if !f.lastStart.IsZero() {
		f.paces++
		f.pace = mean(f.pace, now.Sub(f.lastStart), f.paces)
	}
	f.lastStart = now
}

// ahead returns how many queued requests of the caller are served before one of the key that arrives now; the keys are
// served in turns.
func (f *flow) ahead(key string) int {
	own, keys := f.waitingOf(key), len(f.keys)
	if own == 0 {
		keys++
	}
	return min(f.waiting, (own+1)*keys-1)
}

// longest returns the queue of the key with the most queued requests.
func (f *flow) longest() *keyQueue {
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

// maxIdle is the number of idle callers whose state is kept, so that clients that send a new caller name with each
// request can't exhaust the memory.
const maxIdle = 1024

// flow returns the flow of a caller and creates it if there is none.
func (q *Queue) flow(caller string) *flow {
	if f := q.flows[caller]; f != nil {
		return f
	}
	if len(q.flows) >= maxIdle+q.limits.Running+q.limits.Waiting {
		q.forgetIdle()
	}
	f := &flow{caller: caller}
	q.flows[caller] = f
	return f
}

// forgetIdle removes the flows of callers without a running or queued request.
func (q *Queue) forgetIdle() {
	for name, f := range q.flows {
		if f.running == 0 && f.waiting == 0 {
			delete(q.flows, name)
		}
	}
}

// push appends a request to the queue of its caller and key.
func (q *Queue) push(req Request, f *flow, c *class, long bool) *Waiter {
	if f.waiting == 0 {
		// Idle time gives a caller no credit; otherwise it could take every permit for as long as it had been idle.
		f.served = max(f.served, q.served)
		q.active = append(q.active, f)
	}
	k := f.keyQueue(req.Key)
	w := &Waiter{Verdict: VerdictWait, LatestStart: req.Deadline.Add(-q.need(c)), key: k, class: c, Long: long}
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
		f.pace, f.paces, f.lastStart = 0, 0, time.Time{}
		q.active = slices.DeleteFunc(q.active, func(other *flow) bool { return other == f })
	}
}
