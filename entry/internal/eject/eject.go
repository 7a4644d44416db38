package eject

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// doubt is how many slow or failed tries in a row make a replica doubtful: one happens to every replica on
	// an ordinary day. With second tries after the 98.5th percentile, two in a row happen to one try in some
	// thousand; a single try that follows at once clears those.
	doubt = 2
	// verdict is how many make it ejected; the single try after a doubt is the third.
	verdict = 3
	// firstTrial is how long after a failed single try a replica gets its next.
	firstTrial = time.Second
	// longestTrial bounds the time between single tries, which doubles from firstTrial.
	longestTrial = 16 * time.Second
	// slowFactor is how many times longer than its neighbours a try takes to count as slow.
	slowFactor = 4
	// slowFloor is the difference below which no try counts as slow, about two round trips between zones.
	slowFloor = 3 * time.Millisecond
)

// State says whether a replica gets ordinary tries; its zero value says yes.
//
// It answers a replica that is much slower than the others or fails every try. Without it the replica gets
// its turn again and again, and each turn is a late or missing shard on somebody's page. It also answers a
// replica that has just appeared, whose caches are cold. A replica that is out gets single tries, sent
// beside an ordinary one, so that no page waits for what they find; the first good one brings it back. The
// first comes at once, so that a doubt costs a healthy replica nothing.
type State struct {
	// trialAt is when the next single try is due, in nanoseconds since 1970; zero means that the replica is in.
	trialAt atomic.Int64

	mu      sync.Mutex
	strikes int
	ejected bool
	wait    time.Duration
}

// Slow reports whether a try that took so long was slow beside the usual time.
func Slow(took, usual time.Duration) bool {
	return usual > 0 && took > slowFactor*usual && took > usual+slowFloor
}

// In reports whether the replica gets ordinary tries.
func (s *State) In() bool { return s.trialAt.Load() == 0 }

// Hold takes out a replica of which nothing is known yet; its first single try is due at once.
func (s *State) Hold(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait = firstTrial
	s.trialAt.Store(now.UnixNano())
}

// Trial reports whether a single try is due, and if so, that this caller is the one to send it.
func (s *State) Trial(now time.Time) bool {
	at := s.trialAt.Load()
	if at == 0 || now.UnixNano() < at {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trialAt.Load() != at {
		return false
	}
	s.trialAt.Store(now.Add(s.wait).UnixNano())
	s.wait = min(2*s.wait, longestTrial)
	return true
}

// Strike counts a slow or failed try and reports whether the replica is ejected by it, rather than doubtful.
func (s *State) Strike(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strikes++
	if s.strikes < doubt {
		return false
	}
	if s.trialAt.Load() == 0 {
		s.wait = firstTrial
		s.trialAt.Store(now.UnixNano())
	}
	if s.strikes < verdict || s.ejected {
		return false
	}
	s.ejected = true
	return true
}

// Good counts a good try and reports whether it brought an ejected replica back.
func (s *State) Good() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.ejected
	s.strikes, s.ejected = 0, false
	s.trialAt.Store(0)
	return was
}
