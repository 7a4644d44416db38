package latency

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of newest samples that are kept. At 18 queries per second over ten shards they cover
	// little more than a second.
	maxSamples = 256
	// sortInterval is the number of samples between updates of the quantiles, each of which sorts the samples.
	sortInterval = 32
)

// Recent holds the newest reply times and computes their quantiles. The zero value is ready to use.
type Recent struct {
	mu       sync.Mutex
	samples  [maxSamples]time.Duration
	n, next  int
	unsorted int
	sorted   []time.Duration
}

// Observe adds one sample.
func (r *Recent) Observe(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples[r.next] = took
	r.next = (r.next + 1) % maxSamples
	r.n = min(r.n+1, maxSamples)
	r.unsorted++
	if r.unsorted >= sortInterval || r.n < sortInterval {
		r.unsorted = 0
		r.sorted = append(r.sorted[:0], r.samples[:r.n]...)
		slices.Sort(r.sorted)
	}
}

// Quantile returns the q-quantile of the samples, with q from 0 to 1, or fallback while there are none.
func (r *Recent) Quantile(q float64, fallback time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sorted) == 0 {
		return fallback
	}
	return r.sorted[min(len(r.sorted)-1, int(q*float64(len(r.sorted))))]
}

// Median returns the median of the samples, and false while there are too few of them.
func (r *Recent) Median() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n < sortInterval {
		return 0, false
	}
	return r.sorted[len(r.sorted)/2], true
}
