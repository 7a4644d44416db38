package baselatency

import (
	"math"
	"sync"
	"time"
)

const (
	// riseRate is the largest rate at which the estimate rises, as a share of it per second. Work that has become slower
	// for good is reflected within a minute or two; a burst of 20 s, whose queues look the same, raises the estimate by
	// at most a fifth.
	riseRate = 0.01
	// riseRateRefusing is that rate while nearly all requests are refused because of slow replies. Queues drain within a
	// fraction of a second then, so replies that still take long come from slow replicas, and refusing more does not
	// help.
	riseRateRefusing = 0.5
	// refusingPeriod is the time after such a refusal in which the higher rate applies.
	refusingPeriod = time.Second
)

// Estimator estimates the reply time without queueing. The zero value is ready to use.
//
// The estimate is the lowest median observed, and may rise slowly. Replicas don't report how long a request waited
// there, and no host sees the requests of the others, but the median in the calmest period is the time of the work
// alone.
type Estimator struct {
	mu         sync.Mutex
	estimate   time.Duration
	observedAt time.Time
	refusedAt  time.Time
}

// Get returns the estimate, zero before the first observation.
func (e *Estimator) Get() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate
}

// Observe records the median of the newest reply times.
func (e *Estimator) Observe(now time.Time, median time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rate := riseRate
	if !e.refusedAt.IsZero() && e.observedAt.Sub(e.refusedAt) < refusingPeriod {
		rate = riseRateRefusing
	}
	risen := float64(e.estimate) * math.Exp(rate*now.Sub(e.observedAt).Seconds())
	e.observedAt = now
	if e.estimate == 0 || float64(median) < risen {
		e.estimate = median
		return
	}
	e.estimate = time.Duration(risen)
}

// Refused records that nearly all requests are being refused because replies take longer than the estimate.
func (e *Estimator) Refused(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusedAt = now
}
