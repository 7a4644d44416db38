package event

import (
	"sync"
	"time"
)

// Limit is a token bucket for log lines; its burst is as many lines as its rate allows in one second.
type Limit struct {
	rate float64

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	skipped uint64
}

// NewLimit returns a limit of rate lines per second.
func NewLimit(rate float64) *Limit { return &Limit{rate: rate, tokens: rate} }

// Allow reports whether a line may be written at time now; otherwise it counts the line as skipped.
func (l *Limit) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() {
		l.tokens = min(l.rate, l.tokens+l.rate*now.Sub(l.last).Seconds())
	}
	l.last = now
	if l.tokens < 1 {
		l.skipped++
		return false
	}
	l.tokens--
	return true
}

// Skipped returns the number of lines that Allow rejected.
func (l *Limit) Skipped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped
}
