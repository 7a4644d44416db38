package startup

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

// HoldFor is how long requests wait for the configuration and the replicas, from the first one on. That one has the
// host call the store, which answers in milliseconds; what is not known after this time is not to be had, and waiting
// would only keep clients from other hosts.
const HoldFor = 150 * time.Millisecond

// Startup is the start of one host.
//
// It answers the moment after all hosts lost power: clients are back at once, and a host that refuses them until it has
// made its two calls sends each of them away for longer than the calls take.
type Startup struct {
	clock clock.Clock

	first         sync.Once
	until         time.Time
	done          sync.Once
	wanted, known chan struct{}
}

// New returns the start of a host that begins now.
func New(c clock.Clock) *Startup {
	return &Startup{clock: c, wanted: make(chan struct{}), known: make(chan struct{})}
}

// Wanted is closed once a request waits.
func (s *Startup) Wanted() <-chan struct{} { return s.wanted }

// Known says that the host knows all that requests need.
func (s *Startup) Known() { s.done.Do(func() { close(s.known) }) }

// Await waits until the host knows what requests need, and reports whether it does.
func (s *Startup) Await(ctx context.Context) bool {
	s.first.Do(func() {
		s.until = s.clock.Now().Add(HoldFor)
		close(s.wanted)
	})
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
