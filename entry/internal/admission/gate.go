package admission

import (
	"context"
	"sync"
	"time"
)

// Refusal says why a request was not admitted and when its caller should come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Limits bounds what runs and waits.
type Limits struct {
	Concurrency int
	Queue       int
	CallerShare float64
}

// Request is what the gate knows of a request.
type Request struct {
	Caller   string
	Key      string
	Deadline time.Time
}

// Gate admits the requests of one service on one host.
type Gate struct {
	mu      sync.Mutex
	limits  Limits
	running int
	waiting []chan struct{}
}

// New returns a gate with the limits.
func New(limits Limits) *Gate { return &Gate{limits: limits} }

// SetLimits puts new limits in force for the requests that come next.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
}

// Enter waits for a place until the request's deadline; a nil Refusal means that Leave must follow.
func (g *Gate) Enter(ctx context.Context, _ Request) *Refusal {
	g.mu.Lock()
	if g.running < g.limits.Concurrency {
		g.running++
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) >= g.limits.Queue {
		g.mu.Unlock()
		return &Refusal{Reason: "queue full", RetryAfter: 50 * time.Millisecond}
	}
	place := make(chan struct{})
	g.waiting = append(g.waiting, place)
	g.mu.Unlock()
	select {
	case <-place:
		return nil
	case <-ctx.Done():
		return g.abandon(place)
	}
}

func (g *Gate) abandon(place chan struct{}) *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.waiting {
		if other == place {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return &Refusal{Reason: "deadline passed while waiting", RetryAfter: 50 * time.Millisecond}
		}
	}
	// The place was granted at the same moment; it goes to the next in line.
	g.release()
	return &Refusal{Reason: "deadline passed while waiting", RetryAfter: 50 * time.Millisecond}
}

// Leave gives a place back.
func (g *Gate) Leave(time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release()
}

func (g *Gate) release() {
	if len(g.waiting) > 0 {
		close(g.waiting[0])
		g.waiting = g.waiting[1:]
		return
	}
	g.running--
}
