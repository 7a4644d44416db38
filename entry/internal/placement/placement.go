package placement

import (
	"cmp"
	"slices"

	"guavaspring.org/entry/internal/member"
)

const (
	// queryCores and queryBits are what a query over 36 shards costs a host: 5 ms of a core, and parts of 1.2 KB each. On a link of 14 Mbit/s
	// its parts alone take 25 ms of an objective of 80, on one of 140 Mbit/s they take 2.5.
	queryCores = 0.005
	queryBits  = 36 * 1200 * 8
	// tier is the part of the strongest host's capacity from which a host is as good as that one.
	tier = 0.5
	// leastServing is how many hosts clients are sent to at least, so that the loss of one is the loss of a fifth.
	leastServing = 5
	// reserve is the part of the bounds that is left to the hosts that clients are not sent to: some clients keep old addresses.
	reserve = 0.1
)

// Capacity returns how many queries a second a host can serve with some cores and a link of some bits a second.
func Capacity(cores, bits float64) float64 { return min(cores/queryCores, bits/queryBits) }

// Serving returns the hosts that clients are sent to: the strongest, and weaker ones only where those are too few.
//
// It answers a fleet of a few strong hosts and many weak ones. Spread over all of them, each query waits for a slow link, each
// host sees too little of a replica to know that it is slow, and the connections of a replica are shared among ninety.
func Serving(hosts []member.Host) []member.Host {
	var alive []member.Host
	for _, h := range hosts {
		if h.State == member.StateAlive {
			alive = append(alive, h)
		}
	}
	slices.SortFunc(alive, func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	for i, h := range alive {
		if i >= leastServing && h.Capacity < tier*alive[0].Capacity {
			return alive[:i]
		}
	}
	return alive
}

// Share returns the part, 0 to 1, that the host with an id takes of what all hosts together may do, where there are at least some
// number of hosts.
func Share(hosts []member.Host, id string, least int) float64 {
	serving := Serving(hosts)
	serves := slices.ContainsFunc(serving, func(h member.Host) bool { return h.ID == id })
	rest := len(hosts) - len(serving)
	switch {
	case rest <= 0:
		return 1 / float64(max(least, len(serving)))
	case serves:
		return (1 - reserve) / float64(max(least, len(serving)))
	}
	return reserve / float64(rest)
}
