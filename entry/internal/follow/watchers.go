package follow

import (
	"time"

	"guavaspring.org/entry/internal/member"
)

// Few hosts watch the platform, since a waiting watch counts as a call and a watch of every host would grow with the
// fleet. Two in each zone leave one when a host fails, and zones that are cut off still have theirs.
const (
	watchersPerZone = 2
	// judgeTurn is how much later than the host before it a watcher judges a proposal: one is enough, and forty-eight
	// that race would cost the platform three calls each.
	judgeTurn = 400 * time.Millisecond
	maxTurns  = 5
)

// Watchers returns the hosts that watch the platform, as the given member list has it.
func Watchers(hosts []member.Host) []member.Host {
	type zone struct{ region, zone string }
	count := map[zone]int{}
	var list []member.Host
	for _, h := range member.Ranked(hosts, "watch") {
		z := zone{h.Region, h.Zone}
		if count[z] < watchersPerZone {
			count[z]++
			list = append(list, h)
		}
	}
	return list
}

// Watches reports whether this host is one of its zone's watchers.
func (f *Follower) Watches() bool { return contains(Watchers(f.opts.Hosts()), f.opts.Self().ID) }

// FirstFor reports whether this host is the first watcher for a purpose; hosts that disagree on who is a member may both be.
func FirstFor(hosts []member.Host, self member.Host, purpose string) bool {
	order := member.Ranked(Watchers(hosts), purpose)
	return len(order) > 0 && order[0].ID == self.ID
}

// turn returns how long this host waits before it judges a proposal for service.
func (f *Follower) turn(service string) time.Duration {
	order := member.Ranked(Watchers(f.opts.Hosts()), "judge "+service)
	self := f.opts.Self().ID
	for i, h := range order {
		if h.ID == self {
			return time.Duration(min(i, maxTurns)) * judgeTurn
		}
	}
	return maxTurns * judgeTurn
}

func contains(hosts []member.Host, id string) bool {
	for _, h := range hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}
