package upstream

import (
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// patienceFactor times the replica's average time to the first byte is how long a request waits before its
	// connection is suspected of silence. Below leastPatience, scheduling jitter of a busy host would count as silence.
	patienceFactor = 4
	leastPatience  = 20 * time.Millisecond
	// firstPatience is used until the replica has replied for the first time.
	firstPatience = 200 * time.Millisecond
	// overtakes is the number of requests sent later that must be answered first; a single one may be short by chance.
	overtakes = 2
	// refreshEvery is the minimum time between two replacements of the suspect idle connections to one replica.
	refreshEvery = time.Second
	// usualWeight is the inverse weight of a new sample in the moving average of the time to the first byte.
	usualWeight = 8
)

// silence detects connections to one replica that are open but no longer deliver anything.
//
// If a firewall or NAT drops the state of a connection, requests on it are lost while new connections work, and by
// latency alone the replica looks slow or dead. A request that has waited for several times the average and was
// overtaken by later requests is on a silent connection; it is given up without counting against the replica. If no
// reply arrives at all, a silent connection can't be distinguished from a slow replica yet: the idle connections are
// replaced, which is harmless, and the next requests on new connections show which of the two it is.
type silence struct {
	clock clock.Clock
	// refresh closes the idle connections that were opened before the given time and have received nothing since.
	refresh func(since time.Time)

	mu        sync.Mutex
	waiting   map[*attempt]struct{}
	usual     time.Duration
	watching  bool
	refreshed time.Time
	found     uint64
}

func newSilence(clk clock.Clock, refresh func(since time.Time)) *silence {
	return &silence{clock: clk, refresh: refresh, waiting: map[*attempt]struct{}{}}
}

// sent records that a request is about to be sent.
func (s *silence) sent(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at.sent = s.clock.Now()
	s.waiting[at] = struct{}{}
	s.arm()
}

// answered records that the first byte of a reply was received; usual is set if its latency counts toward the average.
func (s *silence) answered(at *attempt, usual bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.waiting[at]; !ok {
		return
	}
	delete(s.waiting, at)
	if took := s.clock.Now().Sub(at.sent); usual && s.usual == 0 {
		s.usual = took
	} else if usual {
		s.usual += (took - s.usual) / usualWeight
	}
	for other := range s.waiting {
		if other.sent.Before(at.sent) {
			other.overtaken++
		}
	}
}

// ended records that a request is over.
func (s *silence) ended(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, at)
}

// count returns the number of requests that were found on silent connections.
func (s *silence) count() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found
}

func (s *silence) patience() time.Duration {
	if s.usual == 0 {
		return firstPatience
	}
	return max(leastPatience, patienceFactor*s.usual)
}

// arm schedules the next check of the requests in flight; s.mu is held.
func (s *silence) arm() {
	if s.watching {
		return
	}
	s.watching = true
	s.clock.AfterFunc(s.patience()/2, s.watch)
}

func (s *silence) watch() {
	silent, stuck := s.look()
	for _, at := range silent {
		at.giveUpSilent()
	}
	if !stuck.IsZero() {
		s.refresh(stuck)
	}
}

// look returns the requests on silent connections, and the time at which the oldest overdue request was sent.
// That time is zero if there is none or if the idle connections were replaced within refreshEvery.
func (s *silence) look() (silent []*attempt, stuck time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = false
	now := s.clock.Now()
	for at := range s.waiting {
		if now.Sub(at.sent) < s.patience() {
			continue
		}
		if stuck.IsZero() || at.sent.Before(stuck) {
			stuck = at.sent
		}
		if at.overtaken >= overtakes && !at.silent.Load() {
			silent = append(silent, at)
			s.found++
		}
	}
	if now.Sub(s.refreshed) < refreshEvery {
		stuck = time.Time{}
	}
	if !stuck.IsZero() {
		s.refreshed = now
	}
	if len(s.waiting) > 0 {
		s.arm()
	}
	return silent, stuck
}
