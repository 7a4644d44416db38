package relay

import (
	"slices"

	"guavaspring.org/entry/internal/member"
)

const (
	// maxWatchers is the number of hosts that watch the store: one, and a second for when the first is partitioned or
	// restarted. Every open watch is a paid call, so their number must not grow with the fleet.
	maxWatchers = 2
	// fanOut is the maximum number of children of a host. With 8, changes reach 5,600 hosts in five steps.
	fanOut = 8
)

// Parents returns the hosts that self reads changes from, in order of preference. watches reports that self watches the
// store.
//
// Each availability zone has its own tree. The root of a tree reads from the watching hosts, which may be in other
// zones, and the other hosts of the zone read from within it. Changes and the full lists for starting hosts thus cross
// a zone boundary once per zone instead of once per host, even if all hosts start at once.
//
// Hosts with different member lists may become each other's parents in a cycle. None of them then receives changes, and
// each falls back to reading the store itself.
func Parents(hosts []member.Host, self string) (parents []member.Host, watches bool) {
	order := ranked(hosts, self)
	watching := order[:min(maxWatchers, len(order))]
	if slices.ContainsFunc(watching, func(h member.Host) bool { return h.ID == self }) {
		return without(watching, self), true
	}
	own := order[slices.IndexFunc(order, func(h member.Host) bool { return h.ID == self })]
	zone := inZone(order, own)
	at := slices.IndexFunc(zone, func(h member.Host) bool { return h.ID == self })
	// The watching hosts rank first of all hosts, and so first in their zones.
	roots := len(inZone(watching, own))
	if at == 0 {
		return watching, false
	}
	first := (at - max(roots, 1)) / fanOut
	parents = []member.Host{zone[first]}
	if second := first ^ 1; second < at {
		parents = append(parents, zone[second])
	}
	if len(parents) < 2 && roots == 0 {
		// The only parent may be gone. Another parent keeps this host from falling back to the store.
		parents = append(parents, watching[0])
	}
	return parents, false
}

// ranked returns the alive hosts in order of rank, and self. A leaving host is not ranked any more, so that self comes
// last if it is leaving.
func ranked(hosts []member.Host, self string) []member.Host {
	var order []member.Host
	for _, h := range member.Ranked(hosts, "watch") {
		if h.ID == self || h.State == member.StateAlive {
			order = append(order, h)
		}
	}
	if !slices.ContainsFunc(order, func(h member.Host) bool { return h.ID == self }) {
		i := slices.IndexFunc(hosts, func(h member.Host) bool { return h.ID == self })
		order = append(order, hosts[i])
	}
	return order
}

// inZone returns the hosts in the availability zone of own, in the same order.
func inZone(order []member.Host, own member.Host) []member.Host {
	var list []member.Host
	for _, h := range order {
		if h.Zone == own.Zone && h.Region == own.Region {
			list = append(list, h)
		}
	}
	return list
}

// without returns a copy of hosts without the host of the given ID.
func without(hosts []member.Host, id string) []member.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return h.ID == id })
}
