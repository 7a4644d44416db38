package queueing

import (
	"slices"
	"sync"
	"time"
)

const (
	// kept is the number of newest replies that count, fresh the longest age at which they count. A burst fills queues
	// within 0.1 s, and a host of a large fleet gets only a few replies per second from each service.
	kept  = 12
	fresh = time.Second
	// least is the smallest number of replies that count as evidence; one or two may just have been expensive.
	least = 3
	// part is the quantile of the waits that is used. One replica in twenty-five pauses, and in a disruption half of
	// them are slow; the 0.3 quantile is the wait at the healthy replicas.
	part = 0.3
)

// Delay estimates from reply times how long requests queue at the replicas of one service. The zero value is ready to
// use.
//
// Overload may not show in the requests of a single host: 84 hosts that send three requests per second each fill the
// queues of replicas at which none of them ever has more than one request in flight. Reply times show it to all hosts,
// so that each refuses its share without coordination.
type Delay struct {
	mu    sync.Mutex
	waits [kept]time.Duration
	at    [kept]time.Time
	next  int
}

// Observe records a reply that took a time, where unloaded is the reply time without queueing, zero if unknown.
func (d *Delay) Observe(now time.Time, took, unloaded time.Duration) {
	if unloaded <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits[d.next], d.at[d.next] = max(0, took-unloaded), now
	d.next = (d.next + 1) % kept
}

// At returns the queueing delay at the time now, zero while there are too few replies.
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

// Newest returns the wait of the newest reply, and whether that reply is recent enough to count.
func (d *Delay) Newest(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := (d.next - 1 + kept) % kept
	return d.waits[last], !d.at[last].IsZero() && now.Sub(d.at[last]) < fresh
}

// Quantile returns the 0.3 quantile of waits, zero if there are fewer than three. It sorts waits.
func Quantile(waits []time.Duration) time.Duration {
	if len(waits) < least {
		return 0
	}
	slices.Sort(waits)
	return waits[int(part*float64(len(waits)))]
}
