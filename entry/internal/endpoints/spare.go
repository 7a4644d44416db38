package endpoints

import (
	"sync"
	"time"
)

// spareFor is how long a route counts after its last request.
const spareFor = 5 * time.Second

// spare is the shortest time for which a route to the service lets its attempts wait for room.
type spare struct {
	mu    sync.Mutex
	value time.Duration
	noted time.Time
}

// least records the time of one route and returns the shortest of the last spareFor.
func (s *spare) least(now time.Time, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noted.IsZero() || d <= s.value || now.Sub(s.noted) > spareFor {
		s.value, s.noted = d, now
	}
	return s.value
}
