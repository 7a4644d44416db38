package eject

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// suspectThreshold is the number of consecutive slow or failed attempts that take a replica out of rotation. Single
	// ones are normal on every replica. With second attempts sent after the 98.5th percentile, about one attempt in
	// some thousand is the second in a row; one probe, sent at once, brings such a replica back.
	suspectThreshold = 2
	// ejectThreshold is the number of consecutive slow or failed attempts that eject a replica; the third one is the
	// probe sent after the first two.
	ejectThreshold = 3
	// minProbeInterval is the time between the first probe and the second.
	minProbeInterval = time.Second
	// maxProbeInterval caps the time between probes, which doubles from minProbeInterval.
	maxProbeInterval = 16 * time.Second
	// slowFactor is the multiple of the usual duration above which an attempt counts as slow.
	slowFactor = 4
	// minSlowExcess is the excess over the usual duration, about two round trips between zones, up to which no attempt
	// counts as slow.
	minSlowExcess = 3 * time.Millisecond
)

// State holds the ejection state of a replica. The zero value is in rotation.
//
// It protects requests from a replica that is much slower than the others or fails every attempt: each attempt sent to
// it by regular load balancing would be a late or missing shard of a response. A new replica, whose caches are cold,
// starts out of rotation too. A replica that is out of rotation gets only probes, each sent in parallel with a regular
// attempt, so that no response waits for them. The first successful probe brings the replica back. The first probe is
// due at once, so that two slow attempts in a row cost a healthy replica nothing.
type State struct {
	// nextProbe is the time of the next probe in nanoseconds since 1970; zero means that the replica is in rotation.
	nextProbe atomic.Int64

	mu            sync.Mutex
	failures      int
	ejected       bool
	probeInterval time.Duration
}

// Slow reports whether an attempt that took the given time was slow compared with the usual duration.
func Slow(took, usual time.Duration) bool {
	return usual > 0 && took > slowFactor*usual && took > usual+minSlowExcess
}

// InRotation reports whether the replica is in rotation, that is, gets regular attempts.
func (s *State) InRotation() bool { return s.nextProbe.Load() == 0 }

// RequireProbe takes a new replica, of which no attempt has ended yet, out of rotation; its first probe is due at once.
func (s *State) RequireProbe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeInterval = minProbeInterval
	s.nextProbe.Store(now.UnixNano())
}

// ClaimProbe reports whether a probe is due. It returns true to one caller only, which has to send the probe.
func (s *State) ClaimProbe(now time.Time) bool {
	at := s.nextProbe.Load()
	if at == 0 || now.UnixNano() < at {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextProbe.Load() != at {
		return false
	}
	s.nextProbe.Store(now.Add(s.probeInterval).UnixNano())
	s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
	return true
}

// RecordFailure counts a slow or failed attempt and reports whether it ejected the replica. It returns false where the
// attempt only took the replica out of rotation until the next probe.
func (s *State) RecordFailure(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	if s.failures < suspectThreshold {
		return false
	}
	if s.nextProbe.Load() == 0 {
		s.probeInterval = minProbeInterval
		s.nextProbe.Store(now.UnixNano())
	}
	if s.failures < ejectThreshold || s.ejected {
		return false
	}
	s.ejected = true
	return true
}

// RecordSuccess counts a successful attempt and reports whether it restored an ejected replica.
func (s *State) RecordSuccess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasEjected := s.ejected
	s.failures, s.ejected = 0, false
	s.nextProbe.Store(0)
	return wasEjected
}
