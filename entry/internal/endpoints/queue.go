package endpoints

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Rank is the priority of a waiting attempt; lower ranks go first.
type Rank int

// The ranks of waiting attempts.
const (
	// Needed means that the request can't succeed in time without the attempt.
	Needed Rank = iota
	// Useful means that the request can succeed without the attempt, but with a less complete response.
	Useful
	// Late means that the response has already missed its latency objective.
	Late
)

// Waiter is an attempt that waits until a replica of a service has room.
type Waiter struct {
	// Since is when the attempt began to wait.
	Since time.Time
	// Due is the latest time to send the attempt for its reply to come in time; from then on it ranks as Late.
	Due time.Time
	// Order is the place among waiters of the same rank; lower goes first.
	Order int
	// Wake is called once when a replica may have room; it must not block.
	Wake func()

	rank Rank
}

// queue holds the waiting attempts of one service.
//
// It covers a shard whose remaining replicas can't do all its work, for example after two of three were removed. If all
// attempts were sent at once, they would wait in the replica's queue past their objective, and every page would miss
// the shard. Held here, attempts that decide whether a page succeeds go first, and late ones last.
type queue struct {
	mu      sync.Mutex
	waiting []*Waiter
}

// Wait adds w with a rank; if w is waiting already, its rank changes.
func (q *queue) Wait(w *Waiter, rank Rank) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.rank = rank
	if !slices.Contains(q.waiting, w) {
		q.waiting = append(q.waiting, w)
	}
}

// Leave removes w.
func (q *queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Waiting returns the number of waiting attempts.
func (q *queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (w *Waiter) rankAt(now time.Time) Rank {
	if !now.Before(w.Due) {
		return Late
	}
	return w.rank
}

// compare compares the places of two waiters; it is negative if w goes first whenever either came.
func (w *Waiter) compare(other *Waiter, now time.Time) int {
	return cmp.Or(cmp.Compare(w.rankAt(now), other.rankAt(now)), cmp.Compare(w.Order, other.Order))
}

// Wake removes and wakes the waiter that goes first.
func (q *queue) Wake(now time.Time) {
	q.mu.Lock()
	if len(q.waiting) == 0 {
		q.mu.Unlock()
		return
	}
	i := q.first(now)
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.mu.Unlock()
	w.Wake()
}

// first returns the index of the waiter that goes first, among those with the lowest rank and order.
//
// Normally that is the one that has waited longest. Once it has waited for half of the time it has, the service is
// overloaded: in arrival order all attempts would be sent at the last moment and come back late. Then the newest one
// goes first, which is still in time, and only attempts that have waited long are late.
func (q *queue) first(now time.Time) int {
	oldest, newest := 0, 0
	for i, w := range q.waiting {
		place := w.compare(q.waiting[oldest], now)
		if place > 0 {
			continue
		}
		if place < 0 {
			oldest, newest = i, i
			continue
		}
		if w.Since.Before(q.waiting[oldest].Since) {
			oldest = i
		}
		if q.waiting[newest].Since.Before(w.Since) {
			newest = i
		}
	}
	w := q.waiting[oldest]
	if now.Sub(w.Since) > w.Due.Sub(w.Since)/2 {
		return newest
	}
	return oldest
}
