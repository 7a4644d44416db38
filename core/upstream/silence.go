package upstream

import (
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// silenceTimeoutFactor times the replica's average time to the first byte is how long a request waits before its
	// connection is suspected of silence. Below minSilenceTimeout, scheduling jitter of a busy host would count as
	// silence.
	silenceTimeoutFactor = 4
	minSilenceTimeout    = 20 * time.Millisecond
	// initialSilenceTimeout is used until the replica has replied for the first time.
	initialSilenceTimeout = 200 * time.Millisecond
	// minOvertaken is the number of requests sent later that must be answered first; a single one may be short by chance.
	minOvertaken = 2
	// minRefreshInterval is the minimum time between two replacements of the suspect idle connections to one replica.
	minRefreshInterval = time.Second
	// latencyWeight is the inverse weight of a new sample in the moving average of the time to the first byte.
	latencyWeight = 8
)

// silenceDetector detects connections to one replica that are open but no longer deliver anything.
//
// If a firewall or NAT drops the state of a connection, requests on it are lost while new connections work, and by
// latency alone the replica looks slow or dead. A request that has waited for several times the average and was
// overtaken by later requests is on a silent connection; it is given up without counting against the replica. If no
// reply arrives at all, a silent connection can't be distinguished from a slow replica yet: the idle connections are
// replaced, which is harmless, and the next requests on new connections show which of the two it is.
type silenceDetector struct {
	clock clock.Clock
	// refresh closes the idle connections that were opened before the given time and have received nothing since.
	refresh func(since time.Time)

	mu             sync.Mutex
	inFlight       map[*attempt]struct{}
	avgLatency     time.Duration
	checkScheduled bool
	refreshed      time.Time
	found          uint64
}

func newSilenceDetector(clk clock.Clock, refresh func(since time.Time)) *silenceDetector {
	return &silenceDetector{clock: clk, refresh: refresh, inFlight: map[*attempt]struct{}{}}
}

// sent records that a request is about to be sent.
func (s *silenceDetector) sent(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at.sent, at.overtaken = s.clock.Now(), 0
	s.inFlight[at] = struct{}{}
	s.scheduleCheck()
}

// answered records that the first byte of a reply was received; countsLatency is set if its latency counts toward the
// average.
func (s *silenceDetector) answered(at *attempt, countsLatency bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.inFlight[at]; !ok {
		return
	}
	delete(s.inFlight, at)
	if took := s.clock.Now().Sub(at.sent); countsLatency && s.avgLatency == 0 {
		s.avgLatency = took
	} else if countsLatency {
		s.avgLatency += (took - s.avgLatency) / latencyWeight
	}
	for other := range s.inFlight {
		if other.sent.Before(at.sent) {
			other.overtaken++
		}
	}
}

// ended records that a request is over.
func (s *silenceDetector) ended(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, at)
}

// count returns the number of requests that were found on silent connections.
func (s *silenceDetector) count() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found
}

func (s *silenceDetector) timeout() time.Duration {
	if s.avgLatency == 0 {
		return initialSilenceTimeout
	}
	return max(minSilenceTimeout, silenceTimeoutFactor*s.avgLatency)
}

// scheduleCheck schedules the next check of the requests in flight; s.mu is held.
func (s *silenceDetector) scheduleCheck() {
	if s.checkScheduled {
		return
	}
	s.checkScheduled = true
	s.clock.AfterFunc(s.timeout()/2, s.check)
}

func (s *silenceDetector) check() {
	silent, overdueSince := s.findSilent()
	for _, at := range silent {
		at.abandonSilent()
	}
	if !overdueSince.IsZero() {
		s.refresh(overdueSince)
	}
}

// findSilent returns the requests on silent connections, and the time at which the oldest overdue request was sent.
// That time is zero if there is none or if the idle connections were replaced within minRefreshInterval.
func (s *silenceDetector) findSilent() (silent []*attempt, overdueSince time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkScheduled = false
	now := s.clock.Now()
	for at := range s.inFlight {
		if now.Sub(at.sent) < s.timeout() {
			continue
		}
		if overdueSince.IsZero() || at.sent.Before(overdueSince) {
			overdueSince = at.sent
		}
		if at.overtaken >= minOvertaken && !at.silent.Load() {
			silent = append(silent, at)
			s.found++
		}
	}
	if now.Sub(s.refreshed) < minRefreshInterval {
		overdueSince = time.Time{}
	}
	if !overdueSince.IsZero() {
		s.refreshed = now
	}
	if len(s.inFlight) > 0 {
		s.scheduleCheck()
	}
	return silent, overdueSince
}
