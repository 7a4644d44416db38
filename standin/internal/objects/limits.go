package objects

import (
	"net/http"
	"time"
)

// window is the length of the fixed window of a rate limit.
const window = time.Second

// meter counts calls and applies a rate limit; the mutex of the server must be held.
type meter struct {
	// Limit is the maximum number of calls in one window, zero for none.
	Limit int `json:"limit"`
	// Total is the number of all calls, Peak the most calls in one window, Limited the number of rejected calls.
	Total   int `json:"total"`
	Peak    int `json:"peak"`
	Limited int `json:"limited"`

	start time.Time
	n     int
}

// allow counts a call and reports whether it is within the limit.
func (m *meter) allow(now time.Time) bool {
	if now.Sub(m.start) >= window {
		m.start, m.n = now, 0
	}
	m.n++
	m.Total++
	m.Peak = max(m.Peak, m.n)
	if m.Limit > 0 && m.n > m.Limit {
		m.Limited++
		return false
	}
	return true
}

// admit counts a call, applies the faults and reports whether to serve it. If not, it has written the error response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, name string) bool {
	s.mu.Lock()
	now := time.Now()
	s.calls[name+" "+r.Method]++
	m := &s.reads
	if r.Method == http.MethodPut {
		m = &s.writes
	}
	within, slow := m.allow(now), s.slowBy
	s.mu.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	switch {
	case s.down():
		writeError(w, http.StatusServiceUnavailable, "outage")
		return false
	case !within:
		writeError(w, http.StatusTooManyRequests, "rate limit")
		return false
	}
	return true
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}
