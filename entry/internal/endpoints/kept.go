package endpoints

import (
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/subset"
)

// chosen caches this host's subset of the replicas, with the replicas and hosts from which it was computed.
type chosen struct {
	replicas []*Replica
	hosts    []member.Host
	kept     []*Replica
}

// kept returns this host's subset of a list of replicas; the slice must not be changed.
func (s *Service) kept(list []*Replica) []*Replica {
	if s.hosts == nil {
		return list
	}
	self, hosts := s.hosts()
	c := s.chosen.Load()
	if c == nil || !sameSlice(c.replicas, list) || !sameSlice(c.hosts, hosts) {
		c = &chosen{replicas: list, hosts: hosts, kept: keepTo(self, hosts, list)}
		s.chosen.Store(c)
	}
	return c.kept
}

// sameSlice reports whether two slices share their elements.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// keepTo chooses the host's subset among the replicas that are not leaving and whose zones are not evacuated.
func keepTo(self string, hosts []member.Host, list []*Replica) []*Replica {
	rows := make([]subset.Replica, 0, len(list))
	serving := make([]*Replica, 0, len(list))
	for _, r := range list {
		if row, ok := r.servingRow(); ok {
			rows = append(rows, subset.Replica{ID: row.ID, Zone: row.Zone})
			serving = append(serving, r)
		}
	}
	places := subset.Choose(self, hosts, rows)
	kept := make([]*Replica, len(places))
	for i, n := range places {
		kept[i] = serving[n]
	}
	return kept
}

// servingRow returns the replica's row, and whether the replica takes new requests.
func (r *Replica) servingRow() (platform.Replica, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row, r.row.State != platform.StateLeaving && !r.evacuated(r.row.Zone)
}
