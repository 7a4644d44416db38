package unloaded

import (
	"math"
	"sync"
	"time"
)

const (
	// creep is how fast the time may rise, as a share of it a second: work that has become longer for good is known as
	// such after a minute or two, and a burst of twenty seconds, whose queues look the same, raises it by a fifth at
	// the most.
	creep = 0.01
	// creepRefused is how fast it may rise while nearly all requests are refused for it. A queue is gone within a
	// fraction of a second then; what still takes long is slow, and refusing more brings nothing.
	creepRefused = 0.5
	// refusedFor is how long after such a refusal the time rises faster.
	refusedFor = time.Second
)

// Time is how long a reply takes while nothing queues; the zero value knows nothing yet.
//
// It is the least median seen, which may rise slowly. The replicas don't say how long a request waited there, and no
// host sees what the others have sent; but the longest calm that was seen tells what of a reply's time is work.
type Time struct {
	mu      sync.Mutex
	value   time.Duration
	noted   time.Time
	refused time.Time
}

// Get returns the time, zero where nothing is known.
func (t *Time) Get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value
}

// Note takes over the median of the newest replies.
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

// Refused says that nearly all requests are refused since replies take longer than this.
func (t *Time) Refused(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = now
}
