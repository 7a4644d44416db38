package leastshare

import (
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// retention is the time for which a lost host still counts. A partition that lasts longer is taken
	// for a loss of the hosts.
	retention = 5 * time.Minute
	// slots is the number of parts of the retention whose least shares are kept.
	slots = 10
)

// Options configures a Share.
type Options struct {
	Clock clock.Clock
	// Now returns the host's share of a limit by the hosts that it knows at present, from 0 to 1.
	Now func() float64
}

// Share is a host's share of a limit that all hosts keep together.
//
// It falls at once when hosts are added, and rises only once the lost ones have been gone for the retention. Hosts that are
// cut off from each other still serve clients; if each side divided the limit among the hosts that it knows, all together
// would exceed it.
type Share struct {
	opts Options

	mu sync.Mutex
	// epoch is the time of first use, from which slots are counted.
	epoch   time.Time
	current int64
	least   [slots]float64
}

// New returns a share without a history.
func New(opts Options) *Share { return &Share{opts: opts} }

// Get returns the least share of the retention, which includes the present one.
func (s *Share) Get() float64 {
	share, now := s.opts.Now(), s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now, share)
	i := s.current % slots
	s.least[i] = min(s.least[i], share)
	for _, least := range s.least {
		share = min(share, least)
	}
	return share
}

// advance starts the slots up to now with the present share.
func (s *Share) advance(now time.Time, share float64) {
	if s.epoch.IsZero() {
		s.epoch = now
		for i := range s.least {
			s.least[i] = share
		}
	}
	for at := int64(now.Sub(s.epoch) / (retention / slots)); s.current < at; {
		s.current = max(s.current+1, at-slots+1)
		s.least[s.current%slots] = share
	}
}
