package endpoints

import (
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/subset"
)

// cachedSubset caches this host's subset of the replicas, with the replicas and hosts from which it was computed.
type cachedSubset struct {
	replicas []*Replica
	hosts    []member.Host
	subset   []*Replica
	// balanced is whether the subset was computed for balanced load, zoneHosts the number of hosts in the own zone.
	balanced  bool
	zoneHosts int
}

// hostSubset returns this host's subset of a list of replicas; the slice must not be changed.
func (s *Service) hostSubset(list []*Replica) []*Replica {
	if s.hosts == nil {
		return list
	}
	self, hosts := s.hosts()
	c, balanced := s.subsetCache.Load(), s.balanced.Load()
	if c == nil || c.balanced != balanced || !sameSlice(c.replicas, list) || !sameSlice(c.hosts, hosts) {
		minHosts := 0
		if balanced {
			minHosts = minHostsPerReplica
		}
		c = &cachedSubset{replicas: list, hosts: hosts, subset: chooseSubset(self, hosts, list, minHosts), balanced: balanced, zoneHosts: zoneHosts(self, hosts)}
		s.subsetCache.Store(c)
	}
	return c.subset
}

// sameSlice reports whether two slices share their elements.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// chooseSubset chooses the host's subset among the replicas that are not leaving and whose zones are not evacuated.
// minHosts is the minimum number of hosts for each replica, as far as there are as many.
func chooseSubset(self string, hosts []member.Host, list []*Replica, minHosts int) []*Replica {
	rows := make([]subset.Replica, 0, len(list))
	serving := make([]*Replica, 0, len(list))
	for _, r := range list {
		if row, ok := r.servingRow(); ok {
			rows = append(rows, subset.Replica{ID: row.ID, Zone: row.Zone})
			serving = append(serving, r)
		}
	}
	indexes := subset.Cover(self, hosts, rows, minHosts)
	chosen := make([]*Replica, len(indexes))
	for i, n := range indexes {
		chosen[i] = serving[n]
	}
	return chosen
}

// servingRow returns the replica's row, and whether the replica takes new requests.
func (r *Replica) servingRow() (platform.Replica, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row, r.row.State != platform.StateLeaving && !r.evacuated(r.row.Zone)
}
