package relay

import (
	"slices"

	"guavaspring.org/entry/internal/member"
)

const (
	// watchers is how many hosts watch the store: one, and one that goes on while the first is cut off or restarted. Each waiting watch is a
	// call that is paid for, so that it must not grow with the fleet.
	watchers = 2
	// fanOut is how many hosts each host passes on to: 5,600 hosts are reached in five steps.
	fanOut = 8
)

// Parents returns the hosts that self hears from, the one to ask first in front; none of them means that self watches the store.
//
// Hosts that disagree on who is a member may ask each other in a ring. None of them then hears anything fresh, and each
// asks the store itself.
func Parents(hosts []member.Host, self string) (parents []member.Host, watches bool) {
	var order []member.Host
	for _, h := range member.Ranked(hosts, "watch") {
		if h.State == member.StateAlive || h.ID == self {
			order = append(order, h)
		}
	}
	at := slices.IndexFunc(order, func(h member.Host) bool { return h.ID == self })
	if at < 0 {
		// A host that is leaving is not ranked any more, and hears from those that are.
		at = len(order)
	}
	if at < watchers {
		return slices.Delete(order[:min(watchers, len(order))], at, at+1), true
	}
	first := (at - watchers) / fanOut
	parents = []member.Host{order[first]}
	if second := first ^ 1; second < at {
		parents = append(parents, order[second])
	}
	return parents, false
}
