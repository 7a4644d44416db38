package startup

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

// HoldFor is the time after a host's start in which requests wait for the configuration and the replicas. The store answers in milliseconds, and in
// 20 ms both are known. Later, what is not known is not to be had: the store is away, and waiting would only keep clients from other hosts.
const HoldFor = 150 * time.Millisecond

// Startup is the start of one host.
//
// It answers the moment after all hosts lost power: clients are back at once, and a host that refuses them until it has made its two calls
// sends each of them away for longer than the calls take.
type Startup struct {
	clock clock.Clock
	until time.Time

	once          sync.Once
	wanted, known chan struct{}
	done          sync.Once
}

// New returns the start of a host that begins now.
func New(c clock.Clock) *Startup {
	return &Startup{clock: c, until: c.Now().Add(HoldFor), wanted: make(chan struct{}), known: make(chan struct{})}
}

// Wanted is closed once a request waits, or came too late to wait.
func (s *Startup) Wanted() <-chan struct{} { return s.wanted }

// Known says that the host knows all that requests need.
func (s *Startup) Known() { s.done.Do(func() { close(s.known) }) }

// Await waits until the host knows what requests need, and reports whether it does.
func (s *Startup) Await(ctx context.Context) bool {
	s.once.Do(func() { close(s.wanted) })
	left := s.until.Sub(s.clock.Now())
	if left <= 0 {
		select {
		case <-s.known:
			return true
		default:
			return false
		}
	}
	select {
	case <-s.known:
		return true
	case <-s.clock.After(left):
	case <-ctx.Done():
	}
	return false
}
