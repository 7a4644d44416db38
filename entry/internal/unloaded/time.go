package unloaded

import (
	"math"
	"sync"
	"time"
)

const (
	// creep is the largest rate at which the estimate rises, as a share of it per second. Work that has become slower for
	// good is reflected within a minute or two; a burst of 20 s, whose queues look the same, raises the estimate by at
	// most a fifth.
	creep = 0.01
	// creepRefused is that rate while nearly all requests are refused because of slow replies. Queues drain within a
	// fraction of a second then, so replies that still take long come from slow replicas, and refusing more does not
	// help.
	creepRefused = 0.5
	// refusedFor is the time after such a refusal in which the higher rate applies.
	refusedFor = time.Second
)

// Time estimates the reply time without queueing. The zero value is ready to use.
//
// The estimate is the lowest median observed, which rises slowly. Replicas don't report how long a request waited there,
// and no host sees the requests of the others, but the median in the calmest period is the time of the work alone.
type Time struct {
	mu      sync.Mutex
	value   time.Duration
	noted   time.Time
	refused time.Time
}

// Get returns the estimate, zero before the first observation.
func (t *Time) Get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value
}

// Note records the median of the newest reply times.
func (t *Time) Note(now time.Time, median time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := creep
	if !t.refused.IsZero() && t.noted.Sub(t.refused) < refusedFor {
		rate = creepRefused
	}
	risen := float64(t.value) * math.Exp(rate*now.Sub(t.noted).Seconds())
	t.noted = now
	if t.value == 0 || float64(median) < risen {
		t.value = median
		return
	}
	t.value = time.Duration(risen)
}

// Refused records that nearly all requests are being refused because replies take longer than the estimate.
func (t *Time) Refused(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = now
}
