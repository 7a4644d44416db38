package queueing

import (
	"slices"
	"sync"
	"time"
)

const (
	// kept is how many of the newest replies count, and fresh for how long: a burst fills queues within a tenth of a
	// second, and a host of a large fleet gets a few replies a second from each service.
	kept  = 12
	fresh = time.Second
	// least is how many replies make a sign; one or two may just be long work.
	least = 3
	// part is the quantile of the replies' waits that counts. One replica in twenty-five pauses, and in a disruption
	// half of them are slow; what three in ten replies stay below says what the replicas that are well have queued.
	part = 0.3
)

// Delay is how long requests queue at the replicas of one service, seen from the replies; the zero value has seen none.
//
// It answers a load that no host sees: 84 hosts that send three requests a second each fill the queues of replicas at
// which none of them ever has more than one. Replies are what all hosts have in common, so that each refuses its part
// without hearing of the others.
type Delay struct {
	mu    sync.Mutex
	waits [kept]time.Duration
	at    [kept]time.Time
	next  int
}

// Observe takes over how long a reply took, where unloaded is how long it takes while nothing queues, zero for unknown.
func (d *Delay) Observe(now time.Time, took, unloaded time.Duration) {
	if unloaded <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits[d.next], d.at[d.next] = max(0, took-unloaded), now
	d.next = (d.next + 1) % kept
}

// At returns the delay as of now.
func (d *Delay) At(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var waits [kept]time.Duration
	n := 0
	for i, at := range d.at {
		if !at.IsZero() && now.Sub(at) < fresh {
			waits[n] = d.waits[i]
			n++
		}
	}
	return Quantile(waits[:n])
}

// Newest returns the wait of the newest reply, and whether it is fresh.
func (d *Delay) Newest(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := (d.next - 1 + kept) % kept
	return d.waits[last], !d.at[last].IsZero() && now.Sub(d.at[last]) < fresh
}

// Quantile returns the wait that counts of a number of waits, which it sorts.
func Quantile(waits []time.Duration) time.Duration {
	if len(waits) < least {
		return 0
	}
	slices.Sort(waits)
	return waits[int(part*float64(len(waits)))]
}
