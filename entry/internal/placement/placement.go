package placement

import (
	"cmp"
	"slices"

	"guavaspring.org/entry/internal/member"
)

const (
	// minRelativeStrength is the fraction of the strongest host's cores and link rate from which a host counts as
	// equally strong.
	minRelativeStrength = 0.5
	// minServing is the minimum number of serving hosts; with 5, the loss of one host is the loss of a fifth.
	minServing = 5
	// nonServingShare is the fraction of the limits left to the hosts that don't serve, since some clients keep using
	// old addresses.
	nonServingShare = 0.1
)

// strength returns the strength of a host, 0 to 1, relative to the most cores and the fastest link of any host. It is
// the lower of both ratios: whether queries are bound by cores or by the link differs between deployments and over
// time, and a host that is weak in either is slow where that one is the bottleneck.
func strength(h, most member.Host) float64 {
	return min(fraction(h.Cores, most.Cores), fraction(h.LinkBits, most.LinkBits))
}

// fraction returns has as a fraction of most. It returns 1 where no host reports a value, so that all hosts are equal.
func fraction(has, most float64) float64 {
	if most <= 0 {
		return 1
	}
	return has / most
}

// Serving returns the hosts that clients are directed to: the strongest ones, and weaker ones only where fewer than
// minServing are strong.
//
// It is meant for fleets of a few strong hosts and many weak ones. Spread over all of them, each query would wait for a
// slow link, each host would have too few samples of a replica to detect that it is slow, and the connections of a
// replica would be divided among ninety hosts.
func Serving(hosts []member.Host) []member.Host { return serving(hosts, false) }

// serving returns the hosts that clients are directed to. With includeSuspect, suspect hosts are treated as alive.
func serving(hosts []member.Host, includeSuspect bool) []member.Host {
	var alive []member.Host
	var most member.Host
	for _, h := range hosts {
		if h.State == member.StateAlive || includeSuspect && h.State == member.StateSuspect {
			alive = append(alive, h)
			most.Cores, most.LinkBits = max(most.Cores, h.Cores), max(most.LinkBits, h.LinkBits)
		}
	}
	slices.SortFunc(alive, func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(strength(b, most), strength(a, most)), cmp.Compare(a.ID, b.ID))
	})
	var list []member.Host
	for i, h := range alive {
		if i < minServing || nearStrongest(h, alive[0]) {
			list = append(list, h)
		}
	}
	return list
}

// nearStrongest reports whether a host has nearly as many cores and as fast a link as the strongest one.
func nearStrongest(h, strongest member.Host) bool {
	return h.Cores >= minRelativeStrength*strongest.Cores && h.LinkBits >= minRelativeStrength*strongest.LinkBits
}

// Share returns the fraction, 0 to 1, of the limits of all hosts together that the host with the given ID takes. The
// limits are divided among at least minHosts hosts.
func Share(hosts []member.Host, id string, minHosts int) float64 {
	serving := Serving(hosts)
	serves := slices.ContainsFunc(serving, func(h member.Host) bool { return h.ID == id })
	nonServing := len(hosts) - len(serving)
	switch {
	case nonServing <= 0:
		return 1 / float64(max(minHosts, len(serving)))
	case serves:
		return (1 - nonServingShare) / float64(max(minHosts, len(serving)))
	}
	return nonServingShare / float64(nonServing)
}
