package coldshare

import (
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/member"
)

// peakWindow is the time for which hosts that have disappeared from the list still count. A host that is partitioned
// from the others sees them disappear within seconds, while they keep running; hosts that are gone for good are
// replaced within a minute.
const peakWindow = time.Minute

// Options configures Shares.
type Options struct {
	Clock clock.Clock
	// Self returns the host's own id.
	Self func() string
	// Hosts returns all known hosts, and those of them that serve clients. It returns the same slices until one of them
	// changes.
	Hosts func() (all, serving []member.Host)
	// Settled reports whether this host has had enough time since its start to discover the others.
	Settled func() bool
}

// Shares divides the request rate that a cold replica can take among the hosts.
//
// Replicas are cold after a release, or when their zone returns from an evacuation or a power failure. A cold replica
// crashes when it gets more than a certain number of requests per second, and no host sees the requests that the others
// send within that second. So each host derives a whole number of requests from the list of hosts, and the numbers add
// up to the rate that the replica can take. Where there are more hosts than requests, the hosts that rank first for the
// replica send one each and the others none. The margin of the limit above that rate is for hosts whose lists differ
// while others join and leave.
//
// A partitioned host considers the others dead and would take their shares although they keep running. So only a host
// that sees more than half of the hosts it knew a minute ago has a share. Neither has a host that has just started and
// knows only itself.
type Shares struct {
	opts Options

	mu sync.Mutex
	// shares caches the share of this host for one list of hosts, by replica; listHead is the first host of that list.
	shares   map[string]int
	listHead *member.Host
	// peakHosts is the largest number of hosts known recently, peakAt the time at which it was recorded.
	peakHosts int
	peakAt    time.Time
}

// New returns the Shares of one host.
func New(opts Options) *Shares { return &Shares{opts: opts, shares: map[string]int{}} }

// Of returns the number of requests that this host may send in any second to a cold replica that can take perSecond
// requests from all hosts together.
func (s *Shares) Of(replica string, perSecond float64) int {
	all, serving := s.opts.Hosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opts.Settled() || !s.majority(len(all)) {
		return 0
	}
	if s.listHead != &all[0] {
		s.listHead = &all[0]
		clear(s.shares)
	}
	share, ok := s.shares[replica]
	if !ok {
		share = shareOf(replica, serving, s.opts.Self(), max(1, int(perSecond)))
		s.shares[replica] = share
	}
	return share
}

// majority reports whether a number of hosts is more than half of the hosts known recently.
func (s *Shares) majority(hosts int) bool {
	now := s.opts.Clock.Now()
	if hosts >= s.peakHosts || now.Sub(s.peakAt) > peakWindow {
		s.peakHosts, s.peakAt = hosts, now
	}
	return 2*hosts > s.peakHosts
}

// shareOf returns the share of the host self when total is divided among the serving hosts. The remainder goes
// to the hosts that rank first for the replica.
func shareOf(replica string, serving []member.Host, self string, total int) int {
	isSelf := func(h member.Host) bool { return h.ID == self }
	if !slices.ContainsFunc(serving, isSelf) {
		return 0
	}
	share := total / len(serving)
	if slices.IndexFunc(member.Ranked(serving, replica), isSelf) < total%len(serving) {
		share++
	}
	return share
}
