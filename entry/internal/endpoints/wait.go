package endpoints

import (
	"sync"
	"time"
)

// routeTTL is how long a route counts after its last request.
const routeTTL = 5 * time.Second

// shortestWait is the shortest time for which a route to the service lets its attempts wait for room.
type shortestWait struct {
	mu       sync.Mutex
	value    time.Duration
	recorded time.Time
}

// record records the time of one route and returns the shortest of the last routeTTL.
func (s *shortestWait) record(now time.Time, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded.IsZero() || d <= s.value || now.Sub(s.recorded) > routeTTL {
		s.value, s.recorded = d, now
	}
	return s.value
}
