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
)

// neighbours returns the IDs that self probes, in a fixed order.
func neighbours(self Host, list []Host) []string {
	others := make([]ranked, 0, len(list))
	own := self.Key()
	for i := range list {
		h := &list[i]
		if h.ID != self.ID {
			key := h.Key()
			// The distance wraps around, which makes the keys a ring.
			others = append(others, ranked{host: h, rank: key - own, pair: mix(own ^ mix(key))})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var ids []string
	ring := min(ringNeighbours, len(others))
	for _, o := range others[:ring] {
		ids = append(ids, o.host.ID)
	}
	rest := others[ring:]
	slices.SortFunc(rest, func(a, b ranked) int { return cmp.Compare(a.pair, b.pair) })
	inZone, anywhere := 0, 0
	for _, o := range rest {
		switch {
		case inZone < zoneNeighbours && o.host.Zone == self.Zone && o.host.Region == self.Region:
			inZone++
		case anywhere < randomNeighbours:
			anywhere++
		default:
			continue
		}
		ids = append(ids, o.host.ID)
	}
	return ids
}

type ranked struct {
	host *Host
	rank uint64
	pair uint64
}

// Ranked orders the hosts that may take up work by rendezvous hash for a purpose; every host that sees the same members gets the same order, and a change of one member moves only its own place.
func Ranked(hosts []Host, purpose string) []Host {
	seed := hashOf(purpose)
	list := make([]ranked, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		if h.State == StateAlive || h.State == StateSuspect {
			list = append(list, ranked{host: h, pair: mix(seed ^ h.Key())})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.pair, b.pair) })
	out := make([]Host, len(list))
	for i, r := range list {
		out[i] = *r.host
	}
	return out
}
