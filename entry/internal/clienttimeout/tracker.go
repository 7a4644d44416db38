package clienttimeout

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleSize is the number of newest requests that count, medianInterval the number of requests between updates of
	// their median.
	sampleSize, medianInterval = 128, 16
)

// Tracker tracks the remaining time that clients of a route state in their requests. The zero value is ready to use.
//
// A client that retries after a refusal states less remaining time than in its first attempt. Nothing else marks a
// retry: each attempt is a request of its own. The median is the time-out of first attempts as long as these are the
// majority. A client with a shorter time-out of its own is indistinguishable from one that retries.
type Tracker struct {
	mu     sync.Mutex
	times  [sampleSize]time.Duration
	n      int
	median time.Duration
}

// Elapsed records the remaining time that a client states, zero if it states none, and returns how long the client has
// waited already.
func (t *Tracker) Elapsed(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times[t.n%sampleSize] = remaining
	t.n++
	if t.n <= medianInterval || t.n%medianInterval == 0 {
		t.median = medianOf(t.times[:min(t.n, sampleSize)])
	}
	return max(0, t.median-remaining)
}

func medianOf(times []time.Duration) time.Duration {
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
