package placement

import (
	"cmp"
	"slices"

	"guavaspring.org/entry/internal/member"
)

const (
	// tier is the part of what the strongest host has, of cores and of its link, from which a host is as good as that
	// one.
	tier = 0.5
	// leastServing is how many hosts clients are sent to at least, so that the loss of one is the loss of a fifth.
	leastServing = 5
	// reserve is the part of the bounds that is left to the hosts that clients are not sent to: some clients keep old
	// addresses.
	reserve = 0.1
)

// strength returns how strong a host is beside the most cores and the fastest link that any host has, 0 to 1, by what
// it has least of. What a query needs more of, cores or bits, differs between deployments and days. A host that is weak
// in either is slow where that binds.
func strength(h, most member.Host) float64 {
	return min(part(h.Cores, most.Cores), part(h.LinkBits, most.LinkBits))
}

// part returns has as a part of most; where no host says what it has, all are alike.
func part(has, most float64) float64 {
	if most <= 0 {
		return 1
	}
	return has / most
}

// Serving returns the hosts that clients are sent to: the strongest, and weaker ones only where those are too few.
//
// It answers a fleet of a few strong hosts and many weak ones. Spread over all of them, each query waits for a slow
// link, each host sees too little of a replica to know that it is slow, and the connections of a replica are shared
// among ninety.
func Serving(hosts []member.Host) []member.Host { return serving(hosts, false) }

// serving returns the hosts that clients are sent to, or would be if those that are suspected are alive.
func serving(hosts []member.Host, suspected bool) []member.Host {
	var alive []member.Host
	var most member.Host
	for _, h := range hosts {
		if h.State == member.StateAlive || suspected && h.State == member.StateSuspect {
			alive = append(alive, h)
			most.Cores, most.LinkBits = max(most.Cores, h.Cores), max(most.LinkBits, h.LinkBits)
		}
	}
	slices.SortFunc(alive, func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(strength(b, most), strength(a, most)), cmp.Compare(a.ID, b.ID))
	})
	var list []member.Host
	for i, h := range alive {
		if i < leastServing || asGood(h, alive[0]) {
			list = append(list, h)
		}
	}
	return list
}

// asGood reports whether a host has nearly as much of both as the strongest one.
func asGood(h, strongest member.Host) bool {
	return h.Cores >= tier*strongest.Cores && h.LinkBits >= tier*strongest.LinkBits
}

// Share returns the part, 0 to 1, that the host with an id takes of what all hosts together may do, where there are at
// least some number of hosts.
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
