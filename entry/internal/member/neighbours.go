package member

import (
	"cmp"
	"slices"
)

// Neighbours of one host. A fixed, small set keeps connections open, so that a probe costs neither a handshake nor
// the type descriptions of a new gob stream. Two ring successors make sure that every host is probed by somebody:
// with random choices alone about two hosts of 5,600 would have no prober. The random ones in the whole fleet carry
// news everywhere within few hops, and those in the zone carry load marks, which stay inside it.
const (
	ringNeighbours   = 2
	zoneNeighbours   = 3
	randomNeighbours = 3
	allNeighbours    = ringNeighbours + zoneNeighbours + randomNeighbours
)

// neighbours returns the IDs that self probes, in a fixed order; keys holds the key of each host of list.
func neighbours(self Host, list []Host, keys []uint64) []string {
	own := self.Key()
	var ring, zone, anywhere nearest
	for i := range list {
		h := &list[i]
		if h.ID == self.ID {
			continue
		}
		key := keys[i]
		pair := mix(own ^ mix(key))
		// The distance wraps around, which makes the keys a ring.
		ring.offer(ranked{host: h, rank: key - own}, ringNeighbours)
		// More are kept than are taken, since those before may have taken some of them.
		if h.Zone == self.Zone && h.Region == self.Region {
			zone.offer(ranked{host: h, rank: pair}, zoneNeighbours+ringNeighbours)
		}
		anywhere.offer(ranked{host: h, rank: pair}, 2*allNeighbours)
	}
	ids := take(nil, ring, ringNeighbours)
	ids = take(ids, zone, zoneNeighbours)
	// What the zone has too few for is taken from anywhere, so that a small fleet is told of a stop as a whole.
	return take(ids, anywhere, allNeighbours-len(ids))
}

type ranked struct {
	host *Host
	rank uint64
}

// nearest keeps the few hosts of lowest rank, in order.
type nearest []ranked

func (n *nearest) offer(r ranked, most int) {
	list := *n
	if len(list) == most && r.rank >= list[most-1].rank {
		return
	}
	at, _ := slices.BinarySearchFunc(list, r, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	list = slices.Insert(list, at, r)
	*n = list[:min(most, len(list))]
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

// Ranked orders the hosts that may take up work by rendezvous hash for a purpose; every host that sees the same members
// gets the same order, and a change of one member moves only its own place.
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
