package queue

import (
	"slices"
	"time"
)

// flow is the requests of one caller.
type flow struct {
	caller string
	// served is the place-time this caller has had, on the scale of Queue.served; the caller with the least goes next.
	served  time.Duration
	running int
	waiting int
	// pace is the mean time between two starts of the caller's waiting requests, zero unless it has had two since it
	// began to wait.
	pace      time.Duration
	paces     int
	lastStart time.Time
	keys      []*keyQueue
	// keyServed is to the keys of the caller what Queue.served is to the callers.
	keyServed time.Duration
}

// keyQueue is the waiting requests of one caller and key, oldest first.
type keyQueue struct {
	flow   *flow
	key    string
	served time.Duration
	items  []*Waiter
}

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

// next returns the key to serve next, or nil where all wait for a place for long requests.
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

// started notes that a waiting request of the caller was given a place.
func (f *flow) started(now time.Time) {
	if !f.lastStart.IsZero() {
		f.paces++
		f.pace = mean(f.pace, now.Sub(f.lastStart), f.paces)
	}
	f.lastStart = now
}

// ahead returns how many of the caller's waiting requests are served before one of the key that arrives now, its keys
// taking turns.
func (f *flow) ahead(key string) int {
	own, keys := f.waitingOf(key), len(f.keys)
	if own == 0 {
		keys++
	}
	return min(f.waiting, (own+1)*keys-1)
}

// longest returns the key with the most requests waiting.
func (f *flow) longest() *keyQueue {
	return slices.MaxFunc(f.keys, func(a, b *keyQueue) int { return len(a.items) - len(b.items) })
}

// waitingOf returns how many requests of the key wait.
func (f *flow) waitingOf(key string) int {
	for _, k := range f.keys {
		if k.key == key {
			return len(k.items)
		}
	}
	return 0
}

// maxIdle is how many callers without a request are remembered, so that names made up for each request take no memory.
const maxIdle = 1024

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

func (q *Queue) forgetIdle() {
	for name, f := range q.flows {
		if f.running == 0 && f.waiting == 0 {
			delete(q.flows, name)
		}
	}
}

func (q *Queue) push(req Request, f *flow, c *class, long bool) *Waiter {
	if f.waiting == 0 {
		// A caller that was idle gets no credit for it, or it could take every place for as long as it was away.
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

// remove takes a waiter out of its queue.
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
