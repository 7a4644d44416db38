package queueing

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of newest replies that count, maxAge the longest age at which they count. A burst fills
	// queues within 0.1 s, and a host of a large fleet gets only a few replies per second from each service.
	maxSamples = 12
	maxAge     = time.Second
	// minSamples is the smallest number of replies that count as evidence; one or two may just have been expensive.
	minSamples = 3
	// waitQuantile is the quantile of the waits that is used. One replica in twenty-five pauses, and in a disruption half
	// of them are slow; the 0.3 quantile is the wait at the healthy replicas.
	waitQuantile = 0.3
	// mostQuantile is the quantile that counts for a query that needs most of its shards: it waits for their slower
	// replicas as well.
	mostQuantile = 0.6
)

// Delay estimates from reply times how long requests queue at the replicas of one service. The zero value is ready to
// use.
//
// Overload may not show in the requests of a single host: 84 hosts that send three requests per second each fill the
// queues of replicas at which none of them ever has more than one request in flight. Reply times show it to all hosts,
// so that each refuses its share without coordination.
type Delay struct {
	mu         sync.Mutex
	waits      [maxSamples]time.Duration
	observedAt [maxSamples]time.Time
	next       int
}

// Observe records a reply that took a time, where unloaded is the reply time without queueing, zero if unknown.
func (d *Delay) Observe(now time.Time, took, unloaded time.Duration) {
	if unloaded <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits[d.next], d.observedAt[d.next] = max(0, took-unloaded), now
	d.next = (d.next + 1) % maxSamples
}

// At returns the queueing delay at the time now, zero while there are too few replies.
func (d *Delay) At(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var waits [maxSamples]time.Duration
	n := 0
	for i, at := range d.observedAt {
		if !at.IsZero() && now.Sub(at) < maxAge {
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
	last := (d.next - 1 + maxSamples) % maxSamples
	return d.waits[last], !d.observedAt[last].IsZero() && now.Sub(d.observedAt[last]) < maxAge
}

// Quantile returns the 0.3 quantile of waits, zero if there are fewer than three. It sorts waits.
func Quantile(waits []time.Duration) time.Duration { return quantile(waits, waitQuantile) }

// MostQuantile returns the wait that most of waits don't exceed, zero if there are fewer than three. It sorts waits.
func MostQuantile(waits []time.Duration) time.Duration { return quantile(waits, mostQuantile) }

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) < minSamples {
		return 0
	}
	slices.Sort(waits)
	return waits[int(q*float64(len(waits)))]
}

// Since appends to list the waits of the recorded replies that came after a time.
func (d *Delay) Since(list []time.Duration, after time.Time) []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, at := range d.observedAt {
		if at.After(after) {
			list = append(list, d.waits[i])
		}
	}
	return list
}
