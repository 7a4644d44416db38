package endpoints

import (
	"slices"
	"sync"
	"time"
)

// Rank says how much a waiting try is worth to its request; the lower goes first.
type Rank int

// The ranks of waiting tries.
const (
	// Needed means that without the try the request can't be answered with success in time.
	Needed Rank = iota
	// Useful means that the request can be answered without it, less completely.
	Useful
	// Late means that the answer has missed its objective already.
	Late
)

// Waiter is one try that waits for a replica of a service to have room.
type Waiter struct {
	// Since is when the try began to wait.
	Since time.Time
	// Due is when the try has to leave for its answer to come in time; from then on it ranks as Late.
	Due time.Time
	// Wake is called once when there may be room; it must not block.
	Wake func()

	rank Rank
}

// queue holds the tries that wait for one service.
//
// It answers a shard that gets more work than its replicas left can do: the shard of a page whose other two replicas
// were taken away. Sent on at once, all tries stand in the replica's queue past their objective and each page waits for
// them in vain. Held here, the work that decides whether a page can be answered goes first, and what is late goes last.
type queue struct {
	mu      sync.Mutex
	waiting []*Waiter
}

// Wait lets w wait with a rank; a waiter that waits already takes the new rank.
func (q *queue) Wait(w *Waiter, rank Rank) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.rank = rank
	if !slices.Contains(q.waiting, w) {
		q.waiting = append(q.waiting, w)
	}
}

// Leave ends the wait of w.
func (q *queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Waiting returns how many tries wait.
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

// Wake wakes the waiter that goes first.
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

// first returns the place of the waiter that goes first, of those with the lowest rank.
//
// While the queue is short that is the one that has waited longest. Once it has waited for half of what it can, more
// comes than can be done: in that order all would leave at the last moment and come back late. Then the newest goes
// first, which is in time, and those that can't all be served are the ones that have waited.
func (q *queue) first(now time.Time) int {
	oldest, newest := 0, 0
	for i, w := range q.waiting {
		rank, least := w.rankAt(now), q.waiting[oldest].rankAt(now)
		if rank > least {
			continue
		}
		if rank < least {
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
