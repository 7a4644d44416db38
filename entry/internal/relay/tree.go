package relay

import (
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
	at := -1
	for _, h := range member.Ranked(hosts, "watch") {
		if h.ID == self {
			at = len(order)
		}
		if h.ID == self || h.State == member.StateAlive {
			order = append(order, h)
		}
	}
	if at < 0 {
		// A host that is leaving is not ranked any more, and hears from those that are.
		at = len(order)
	}
	if at < watchers {
		for _, h := range order[:min(watchers, len(order))] {
			if h.ID != self {
				parents = append(parents, h)
			}
		}
		return parents, true
	}
	first := (at - watchers) / fanOut
	parents = []member.Host{order[first]}
	if second := first ^ 1; second < at {
		parents = append(parents, order[second])
	}
	return parents, false
}
