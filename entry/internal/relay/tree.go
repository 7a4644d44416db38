package relay

import (
	"slices"

	"guavaspring.org/entry/internal/member"
)

const (
	// watchers is how many hosts watch the store: one, and one that goes on while the first is cut off or restarted.
	// Each waiting watch is a call that is paid for, so that it must not grow with the fleet.
	watchers = 2
	// fanOut is how many hosts each host passes on to: 5,600 hosts are reached in five steps.
	fanOut = 8
)

// Parents returns the hosts that self hears from, the one to ask first in front; watches says that self watches the
// store.
//
// Each availability zone has a tree of its own. Its first host hears from those that watch, which may be elsewhere, and
// passes on inside the zone, so that news and what a starting host needs cross a zone's border once and not once for
// each host, also where all start at once.
//
// Hosts that disagree on who is a member may ask each other in a ring. None of them then hears anything fresh, and each
// asks the store itself.
func Parents(hosts []member.Host, self string) (parents []member.Host, watches bool) {
	order := ranked(hosts, self)
	watching := order[:min(watchers, len(order))]
	if slices.ContainsFunc(watching, func(h member.Host) bool { return h.ID == self }) {
		return without(watching, self), true
	}
	own := order[slices.IndexFunc(order, func(h member.Host) bool { return h.ID == self })]
	zone := inZone(order, own)
	at := slices.IndexFunc(zone, func(h member.Host) bool { return h.ID == self })
	// Those that watch are the first of all, and so of their zones.
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
		// The one host above this one may be gone, and the store is not the next to be asked.
		parents = append(parents, watching[0])
	}
	return parents, false
}

// ranked returns the hosts that may be heard from in their order, with self in it: a host that is leaving is not ranked
// any more, and comes last.
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

// inZone returns the hosts of a host's availability zone in their order.
func inZone(order []member.Host, own member.Host) []member.Host {
	var list []member.Host
	for _, h := range order {
		if h.Zone == own.Zone && h.Region == own.Region {
			list = append(list, h)
		}
	}
	return list
}

func without(hosts []member.Host, id string) []member.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return h.ID == id })
}
