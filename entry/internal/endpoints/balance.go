package endpoints

import (
	"time"

	"guavaspring.org/entry/internal/balance"
	"guavaspring.org/entry/internal/inflight"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/pick"
)

const (
	// maxCandidates bounds the candidates among which a choice is balanced. More than the replicas that a host uses, and
	// few enough to be kept without an allocation.
	maxCandidates = 32
	// minHostsPerReplica is the minimum number of hosts whose subset a replica is in. With 6 hosts and 25 replicas, one
	// replica was in the subsets of two hosts while others were in none.
	minHostsPerReplica = 4
)

// SetBalanced sets whether requests are spread over the replicas of each service by their capacity, in place of the
// lowest estimate.
func (t *Table) SetBalanced(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balanced = on
	for _, s := range t.services {
		s.balanced.Store(on)
	}
}

// Balanced reports whether requests are spread by capacity.
func (t *Table) Balanced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balanced
}

// candidates holds the replicas of one choice that have room; nil while requests are not balanced.
type candidates struct {
	// zoneHosts is the number of hosts in the host's own zone.
	zoneHosts int
	// reported reports whether a replica reports its load: those are chosen by it.
	reported bool
	n        int
	list     [maxCandidates]balance.Candidate
	replicas [maxCandidates]*Replica
}

// suspect raises the slowness of a replica by its newest reply, where more hosts use it than it has slots: each has few
// replies of it.
func (c *candidates) suspect(v *pick.Replica) {
	if c != nil && c.zoneHosts > inflight.Slots(v.Slots) {
		v.Slowness = max(v.Slowness, v.Suspected)
	}
}

func (c *candidates) add(r *Replica, estimate time.Duration, v pick.Replica, need Need) {
	if c == nil || c.n == maxCandidates {
		return
	}
	c.reported = c.reported || v.Reports
	c.list[c.n] = balance.Candidate{Estimate: estimate, Preferred: need.Prefers(v, estimate), Turn: v.Turn}
	c.replicas[c.n] = r
	c.n++
}

// balance returns the choice among the candidates that are as good as the best one.
func (c *candidates) balance(now time.Time, best Choice) Choice {
	if c == nil || c.reported || c.n < 2 {
		return best
	}
	for i, r := range c.replicas[:c.n] {
		if r != best.Replica {
			continue
		}
		if i = balance.Choose(c.list[:c.n], i); c.replicas[i] != r {
			best.Replica, best.Estimate = c.replicas[i], c.list[i].Estimate
			best.Seen, _, _ = best.Replica.view(now)
		}
		break
	}
	return best
}

// pick chooses the best replica of a list, balanced with the other hosts if there are any.
func (s *Service) pick(now time.Time, list []*Replica, need Need, draw func() float64) (Choice, Verdict) {
	if zoneHosts, ok := s.balances(); ok {
		return s.pickFrom(now, list, need, draw, &candidates{zoneHosts: zoneHosts})
	}
	return s.pickFrom(now, list, need, draw, nil)
}

// balances reports whether choices are balanced with other hosts, and the number of hosts in the host's own zone.
func (s *Service) balances() (zoneHosts int, ok bool) {
	own := s.subsetCache.Load()
	if !s.balanced.Load() || own == nil || len(own.hosts) < 2 {
		return 0, false
	}
	return own.zoneHosts, true
}

// zoneHosts returns the number of hosts in the zone of the host with ID self, zero if it is not among them.
func zoneHosts(self string, hosts []member.Host) int {
	zone, known := "", false
	for _, h := range hosts {
		if h.ID == self {
			zone, known = h.Zone, true
		}
	}
	n := 0
	for _, h := range hosts {
		if known && h.Zone == zone {
			n++
		}
	}
	return n
}
