package member

import (
	"cmp"
	"slices"
)

// Numbers of neighbours, the hosts that one host probes. A fixed, small set keeps connections open, so that a probe
// costs neither a handshake nor the type descriptions of a new gob stream. Two ring successors ensure that every host
// is probed: with random neighbours alone about two hosts of 5,600 would have no prober. The random neighbours in the
// whole fleet spread changes to all hosts within few hops, and those in the zone spread load reports, which stay
// inside it.
const (
	ringNeighbours   = 2
	zoneNeighbours   = 3
	randomNeighbours = 3
	allNeighbours    = ringNeighbours + zoneNeighbours + randomNeighbours
)

// neighbours returns the IDs of the hosts that self probes, in a fixed order; keys holds the key of each host in list.
func neighbours(self Host, list []Host, keys []uint64) []string {
	selfKey := self.Key()
	var ring, zone, fleet nearest
	for i := range list {
		h := &list[i]
		if h.ID == self.ID {
			continue
		}
		key := keys[i]
		pair := mix(selfKey ^ mix(key))
		// The difference wraps around, which makes the keys a ring.
		ring.offer(ranked{host: h, rank: key - selfKey}, ringNeighbours)
		// More candidates are kept than are needed, since the earlier groups may already contain some of them.
		if h.Zone == self.Zone && h.Region == self.Region {
			zone.offer(ranked{host: h, rank: pair}, zoneNeighbours+ringNeighbours)
		}
		fleet.offer(ranked{host: h, rank: pair}, 2*allNeighbours)
	}
	ids := take(nil, ring, ringNeighbours)
	ids = take(ids, zone, zoneNeighbours)
	// A small zone is topped up from the whole fleet, so that in a small fleet a stop is announced to every host.
	return take(ids, fleet, allNeighbours-len(ids))
}

type ranked struct {
	host *Host
	rank uint64
}

// nearest holds the hosts of lowest rank, in ascending order.
type nearest []ranked

// offer inserts r if it is among the hosts of lowest rank, of which limit are kept.
func (n *nearest) offer(r ranked, limit int) {
	list := *n
	if len(list) == limit && r.rank >= list[limit-1].rank {
		return
	}
	at, _ := slices.BinarySearchFunc(list, r, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	list = slices.Insert(list, at, r)
	*n = list[:min(limit, len(list))]
}

// take appends the first n hosts of from that aren't in ids yet.
func take(ids []string, from nearest, n int) []string {
	for _, r := range from {
		if n > 0 && !slices.Contains(ids, r.host.ID) {
			ids = append(ids, r.host.ID)
			n--
		}
	}
	return ids
}

// Ranked returns the alive and suspect hosts, which may be given work, ordered by rendezvous hash for a purpose. Hosts
// with the same member list get the same order, and a change of one member moves only that member.
func Ranked(hosts []Host, purpose string) []Host {
	seed := hashOf(purpose)
	list := make([]ranked, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		if h.State == StateAlive || h.State == StateSuspect {
			list = append(list, ranked{host: h, rank: mix(seed ^ h.Key())})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Host, len(list))
	for i, r := range list {
		out[i] = *r.host
	}
	return out
}
