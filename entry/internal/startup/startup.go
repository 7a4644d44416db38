package startup

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

// HoldFor is the time from the first request on for which requests wait for the configuration and the replicas. The
// first request triggers the calls to the store, which replies in milliseconds. If they aren't there after this time,
// the store is unavailable, and waiting longer would only keep clients from trying other hosts.
const HoldFor = 150 * time.Millisecond

// Startup tracks whether a starting host has the data that requests need.
//
// It matters when all hosts restart at once, for example after a power failure. Clients reconnect immediately. A host
// that rejects them until its two calls to the store have returned makes each client wait longer than the calls take.
type Startup struct {
	clock clock.Clock

	startWait     sync.Once
	deadline      time.Time
	markKnown     sync.Once
	wanted, known chan struct{}
}

// New returns a Startup for a host that has none of the data yet.
func New(c clock.Clock) *Startup {
	return &Startup{clock: c, wanted: make(chan struct{}), known: make(chan struct{})}
}

// Requested returns a channel that is closed by the first call of Await.
func (s *Startup) Requested() <-chan struct{} { return s.wanted }

// MarkReady marks all the data that requests need as loaded. It may be called repeatedly.
func (s *Startup) MarkReady() { s.markKnown.Do(func() { close(s.known) }) }

// Await waits for MarkReady until HoldFor after the first call has passed or ctx ends, and reports whether it was
// called.
func (s *Startup) Await(ctx context.Context) bool {
	s.startWait.Do(func() {
		s.deadline = s.clock.Now().Add(HoldFor)
		close(s.wanted)
	})
	left := s.deadline.Sub(s.clock.Now())
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
