package coldshare

import (
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/member"
)

// rememberFor is how long hosts count that this one knew and does not know any more. A host that was cut off sees the
// others vanish within seconds, while they go on; hosts that are gone for good are replaced within a minute.
const rememberFor = time.Minute

// Options configures Shares.
type Options struct {
	Clock clock.Clock
	// Self returns the host's own id.
	Self func() string
	// Hosts returns all hosts that are known, and those of them that clients are sent to; it returns the same slices
	// until one of them changes.
	Hosts func() (all, serving []member.Host)
	// Settled reports whether this host has had the time to meet the others.
	Settled func() bool
}

// Shares divides among the hosts what a cold replica bears.
//
// It answers replicas that come back: a zone that was evacuated or lost power, a release. A cold replica crashes when
// it gets more than so many requests a second, and no host sees what the others send there within that second. So each
// has a whole number of its own, worked out from the list of hosts, and the numbers add up to what the replica bears:
// where there are more hosts than that, the hosts that rank first for the replica send it one each, and the others
// none. What the bound allows beyond that is for hosts whose lists differ while others come and go.
//
// A host that was cut off from the others takes them for dead, and would take what is theirs though they go on. So only
// one that sees more than half of the hosts that it knew a minute ago has a share; so does none that has just started
// and knows only itself.
type Shares struct {
	opts Options

	mu sync.Mutex
	// shares holds what was worked out for one list of hosts, by replica, and known the first host of that list.
	shares map[string]int
	known  *member.Host
	// most is the largest number of hosts that was known lately, as of at.
	most int
	at   time.Time
}

// New returns the shares of one host.
func New(opts Options) *Shares { return &Shares{opts: opts, shares: map[string]int{}} }

// Of returns how many requests this host may send in any second to a cold replica that bears a number of them from all
// hosts together.
func (s *Shares) Of(replica string, perSecond float64) int {
	all, serving := s.opts.Hosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opts.Settled() || !s.majority(len(all)) {
		return 0
	}
	if s.known != &all[0] {
		s.known = &all[0]
		clear(s.shares)
	}
	share, ok := s.shares[replica]
	if !ok {
		share = shareOf(replica, serving, s.opts.Self(), max(1, int(perSecond)))
		s.shares[replica] = share
	}
	return share
}

// majority reports whether a number of hosts is more than half of those that were known lately.
func (s *Shares) majority(hosts int) bool {
	now := s.opts.Clock.Now()
	if hosts >= s.most || now.Sub(s.at) > rememberFor {
		s.most, s.at = hosts, now
	}
	return 2*hosts > s.most
}

// shareOf divides a number among the serving hosts; what is left over goes to those that rank first for the replica.
func shareOf(replica string, serving []member.Host, self string, number int) int {
	is := func(h member.Host) bool { return h.ID == self }
	if !slices.ContainsFunc(serving, is) {
		return 0
	}
	share := number / len(serving)
	if slices.IndexFunc(member.Ranked(serving, replica), is) < number%len(serving) {
		share++
	}
	return share
}
