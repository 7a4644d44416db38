package endpoints

import (
	"sync"
	"time"
)

// spareFor is how long a route counts that sends no request any more.
const spareFor = 5 * time.Second

// spare is the least time for which the routes to one service let their tries wait for room.
type spare struct {
	mu    sync.Mutex
	value time.Duration
	noted time.Time
}

// least takes over the time of one route and returns the least one of the last spareFor.
func (s *spare) least(now time.Time, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noted.IsZero() || d <= s.value || now.Sub(s.noted) > spareFor {
		s.value, s.noted = d, now
	}
	return s.value
}
