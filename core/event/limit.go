package event

import (
	"sync"
	"time"
)

// Limit bounds lines to a steady rate a second and a burst of as many.
type Limit struct {
	rate float64

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	skipped uint64
}

// NewLimit returns a limit of rate lines a second.
func NewLimit(rate float64) *Limit { return &Limit{rate: rate, tokens: rate} }

// Allow reports whether a line may be written now, and counts it as skipped otherwise.
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

// Skipped returns how many lines were not written.
func (l *Limit) Skipped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped
}
