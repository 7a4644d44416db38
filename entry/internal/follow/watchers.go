package follow

import (
	"slices"
	"time"

	"guavaspring.org/entry/internal/member"
)

// Few hosts watch the platform: it counts a waiting watch as a call, so the calls would grow with the fleet if every
// host watched. Two in each zone leave one when a host fails, and a zone that is cut off still has watchers.
const (
	watchersPerZone = 2
	// judgeDelayStep is the delay of a watcher after the one ranked before it, until it judges a proposal: one watcher
	// is enough, and forty-eight at the same time would cost the platform three calls each.
	judgeDelayStep = 400 * time.Millisecond
	// maxJudgeDelaySteps is the rank from which on the delay no longer grows.
	maxJudgeDelaySteps = 5
)

// Watchers returns the hosts of a member list that watch the platform.
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

// Watchers returns the hosts that watch the platform now. The result is cached until the member list changes: ranking
// 5,600 hosts takes milliseconds, and the method is called several times a second for every service.
func (f *Follower) Watchers() []member.Host {
	hosts := f.opts.Hosts()
	if len(hosts) == 0 {
		return nil
	}
	f.watchersMu.Lock()
	defer f.watchersMu.Unlock()
	if f.watchersOf != &hosts[0] {
		f.watchersOf, f.watchers = &hosts[0], Watchers(hosts)
	}
	return f.watchers
}

// IsWatcher reports whether this host is one of its zone's watchers.
func (f *Follower) IsWatcher() bool {
	self := f.opts.Self().ID
	return slices.ContainsFunc(f.Watchers(), func(h member.Host) bool { return h.ID == self })
}

// IsFirstWatcher reports whether this host is the first watcher in the ranking for a purpose; with different member
// lists this can be true on several hosts.
func (f *Follower) IsFirstWatcher(purpose string) bool {
	order := member.Ranked(f.Watchers(), purpose)
	return len(order) > 0 && order[0].ID == f.opts.Self().ID
}

// judgeDelay returns the delay before this host judges a proposal for service.
func (f *Follower) judgeDelay(service string) time.Duration {
	self := f.opts.Self().ID
	for i, h := range member.Ranked(f.Watchers(), "judge "+service) {
		if h.ID == self {
			return time.Duration(min(i, maxJudgeDelaySteps)) * judgeDelayStep
		}
	}
	return maxJudgeDelaySteps * judgeDelayStep
}
