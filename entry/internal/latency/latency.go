package latency

import (
	"slices"
	"sync"
	"time"
)

const (
	// kept is how many of the newest samples count: at 18 queries a second over ten shards they are little more than a
	// second old.
	kept = 256
	// sortEvery is how many samples come between two looks at the quantiles, which cost a sort.
	sortEvery = 32
)

// Recent holds the newest samples and their quantiles.
type Recent struct {
	mu      sync.Mutex
	samples [kept]time.Duration
	n, next int
	since   int
	sorted  []time.Duration
}

// Observe adds one sample.
func (r *Recent) Observe(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples[r.next] = took
	r.next = (r.next + 1) % kept
	r.n = min(r.n+1, kept)
	r.since++
	if r.since >= sortEvery || r.n < sortEvery {
		r.since = 0
		r.sorted = append(r.sorted[:0], r.samples[:r.n]...)
		slices.Sort(r.sorted)
	}
}

// Quantile returns the q-quantile, 0 to 1, or fallback while nothing was observed.
func (r *Recent) Quantile(q float64, fallback time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sorted) == 0 {
		return fallback
	}
	return r.sorted[min(len(r.sorted)-1, int(q*float64(len(r.sorted))))]
}

// Median returns the median, and whether there are samples enough to trust it.
func (r *Recent) Median() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n < sortEvery {
		return 0, false
	}
	return r.sorted[len(r.sorted)/2], true
}
