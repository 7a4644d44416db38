package upstream

import (
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// patienceFactor times the replica's usual time to the first byte is how long a request waits before its connection
	// is suspect; below leastPatience the jitter of a busy host would count as silence.
	patienceFactor = 4
	leastPatience  = 20 * time.Millisecond
	// firstPatience stands in until the replica has answered.
	firstPatience = 200 * time.Millisecond
	// overtakes is how many requests sent later must be answered first: one may have been short by chance.
	overtakes = 2
	// refreshEvery bounds how often the idle connections to one replica are replaced on suspicion.
	refreshEvery = time.Second
	// usualWeight is the weight of a new sample in the usual time, as one part in usualWeight.
	usualWeight = 8
)

// silence finds connections of one replica that stay open and say nothing any more.
//
// Something between the two ends forgets a connection: requests on it vanish while new connections work, and the
// replica looks slow or dead to those who only see the time. Two signs tell it from a slow replica. A request that has
// waited for several times the usual and was overtaken by later ones sits on a silent connection, and is given up
// without blame. Where nothing at all comes back, it can't be told yet: the idle connections are replaced, which harms
// nobody, and the requests that come next, on fresh connections, bring the evidence.
type silence struct {
	clock clock.Clock
	// refresh replaces the idle connections that were opened before a time and have received nothing since.
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

// sent notes that a request is about to go out.
func (s *silence) sent(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at.sent = s.clock.Now()
	s.waiting[at] = struct{}{}
	s.arm()
}

// answered notes that the first byte of a reply came back; usual says whether its time is typical of requests.
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

// ended notes that a request was given up.
func (s *silence) ended(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, at)
}

// count returns how many requests were found on silent connections.
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

// arm starts the watch over the requests that wait; s.mu is held.
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

// look returns the requests on silent connections, and when the oldest was sent of those that can't be judged yet.
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
