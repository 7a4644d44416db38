package allowance

import (
	"net/netip"
	"slices"
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// missingShareTTL is how long a missing host keeps its share of every limit, as it may be partitioned and still
	// run. Hosts that are gone for good are replaced within a minute.
	missingShareTTL = time.Minute
	// recordInterval is the interval at which the serving hosts are recorded.
	recordInterval = time.Second
	// provenAfter is how long a host must be known before it can be a keeper. A host that has just started doesn't have
	// the member list yet, and the buckets that it would hold already have a keeper.
	provenAfter = 2 * time.Second
	// maxKeepers is the maximum number of hosts that are keepers. It bounds the connections of each host.
	maxKeepers = 16
	// maxDeputies is the maximum number of deputies of a customer.
	maxDeputies = 3
	// keeperRankKey is the key by which hosts are ranked to choose the keepers.
	keeperRankKey = "allowance keepers"
)

// fleet derives each customer's keeper and the number of shares of a limit from the serving hosts.
type fleet struct {
	// serving lists the serving hosts of the latest view, and keepersSince is when the keepers last changed.
	serving      []member.Host
	keepersSince time.Time
	// self is the ID of this host.
	self string
	// keepers lists the hosts that can be keepers, and ranked caches the ranking of each customer.
	keepers []member.Host
	ranked  map[string]ranking
	// proven lists the serving hosts that have been known for at least provenAfter. firstSeen holds when each serving
	// host was first seen, by ID. nextProvenAt is when the next host becomes proven, or zero if all are.
	proven       []member.Host
	firstSeen    map[string]time.Time
	nextProvenAt time.Time
	// lastSeen holds when each serving host was last seen, by address, as of recordedAt.
	lastSeen   map[netip.AddrPort]time.Time
	recordedAt time.Time
	// reportedShares is the number of shares that other hosts divide a limit into, as of reportedAt.
	reportedShares int
	reportedAt     time.Time
	// settledAt is when this host had discovered the others. It is zero if it had done so before the first update, has
	// not done so yet, or another host reported to have done so long ago.
	settledAt time.Time
	unsettled bool
	// idleListed is the number of hosts that were listed at the start and don't serve as of recordedAt, and minShares the number
	// of shares known at the start without theirs.
	minShares, idleListed int
	// startEndedAt is when the start phase ended.
	startEndedAt time.Time
}

// ranking holds the keeper and deputies of one customer.
type ranking struct {
	// keeper is the ID of the customer's keeper. Hosts that can't reach it ask the deputies in this order.
	keeper   string
	deputies []string
	// rank is the rank of this host among the serving hosts, or their number if it doesn't serve.
	rank int
}

func newFleet() fleet {
	return fleet{firstSeen: map[string]time.Time{}, lastSeen: map[netip.AddrPort]time.Time{}}
}

// update applies a view and reports whether the keepers may have changed. The argument starting reports that this host
// is in the start phase.
func (f *fleet) update(now time.Time, v View, starting bool) bool {
	if f.unsettled && v.Settled {
		f.settledAt = now
	}
	f.unsettled = !v.Settled
	changed := !sameHosts(f.serving, v.Serving)
	if changed || now.Sub(f.recordedAt) > recordInterval {
		f.recordServing(now, v)
		f.idleListed = 0
		if v.Settled && !starting {
			f.idleListed = v.idleListed()
		}
	}
	f.minShares = max(0, v.Parts-f.idleListed)
	if !changed && (f.nextProvenAt.IsZero() || now.Before(f.nextProvenAt)) {
		return false
	}
	f.self, f.serving, f.keepersSince, f.ranked = v.Self, v.Serving, now, map[string]ranking{}
	f.recordFirstSeen(now, v, starting)
	f.collectProven(now)
	f.keepers = member.Ranked(f.proven, keeperRankKey)
	f.keepers = f.keepers[:min(maxKeepers, len(f.keepers))]
	return true
}

// sameHosts reports whether two lists contain the same hosts in the same order.
func sameHosts(a, b []member.Host) bool {
	if len(a) != len(b) || len(a) == 0 || &a[0] == &b[0] {
		return len(a) == len(b)
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			return false
		}
	}
	return true
}

// recordServing records which hosts serve now. It drops hosts that have not served for missingShareTTL, and hosts that
// are alive but don't serve any more, as these use no share.
func (f *fleet) recordServing(now time.Time, v View) {
	f.recordedAt = now
	if !v.Settled {
		// Until the others are discovered, hosts that are too weak to serve count as serving, too.
		clear(f.lastSeen)
	}
	for _, h := range v.Hosts {
		if h.State == member.StateAlive {
			delete(f.lastSeen, h.Peer)
		}
	}
	for _, h := range v.Serving {
		f.lastSeen[h.Peer] = now
	}
	for addr, at := range f.lastSeen {
		if now.Sub(at) > missingShareTTL {
			delete(f.lastSeen, addr)
		}
	}
}

// recordFirstSeen records when the hosts were first seen. A host that has just started, or runs its first
// update, can't distinguish new hosts from others and counts all as proven.
func (f *fleet) recordFirstSeen(now time.Time, v View, starting bool) {
	before := f.firstSeen
	f.firstSeen = make(map[string]time.Time, len(f.serving))
	for _, h := range f.serving {
		at, known := before[h.ID]
		switch {
		case known:
		case !v.Settled, starting, len(before) == 0:
			at = now.Add(-provenAfter)
		default:
			at = now
		}
		f.firstSeen[h.ID] = at
	}
}

// collectProven collects the serving hosts that have been known for at least provenAfter.
func (f *fleet) collectProven(now time.Time) {
	f.proven, f.nextProvenAt = nil, time.Time{}
	for _, h := range f.serving {
		at := f.firstSeen[h.ID].Add(provenAfter)
		if !now.Before(at) {
			f.proven = append(f.proven, h)
			continue
		}
		if f.nextProvenAt.IsZero() || at.Before(f.nextProvenAt) {
			f.nextProvenAt = at
		}
	}
}

// rankingFor returns the ranking of a customer.
func (f *fleet) rankingFor(customer string) ranking {
	r, ok := f.ranked[customer]
	if ok {
		return r
	}
	r.rank = len(f.serving)
	for i, h := range member.Ranked(f.serving, customer) {
		if h.ID == f.self {
			r.rank = i
		}
	}
	list := member.Ranked(f.keepers, customer)
	if len(list) > 0 {
		r.keeper = list[0].ID
	}
	for n := 1; n < min(len(list), 1+maxDeputies); n++ {
		r.deputies = append(r.deputies, list[n].ID)
	}
	f.ranked[customer] = r
	return r
}

// selfServes reports whether this host is a serving host.
func (f *fleet) selfServes() bool {
	return slices.ContainsFunc(f.serving, func(h member.Host) bool { return h.ID == f.self })
}

// isKeeper reports whether this host is a customer's keeper.
func (f *fleet) isKeeper(customer string) bool {
	return f.self != "" && f.rankingFor(customer).keeper == f.self
}

// keeperHost returns the keeper candidate with the given ID.
func (f *fleet) keeperHost(id string) member.Host {
	for _, h := range f.keepers {
		if h.ID == id {
			return h
		}
	}
	return member.Host{}
}

// shareCount returns the number of shares that a limit is divided into: one for each host that serves or served
// recently, according to this host or one that has asked it.
func (f *fleet) shareCount() float64 { return float64(max(f.knownShares(), f.reportedShares)) }

// fraction returns the given number of shares as a fraction of the limit.
func (f *fleet) fraction(parts int) float64 { return min(1, float64(parts)/f.shareCount()) }

// reachedFraction returns the fraction of the hosts known at the start that this host has discovered, by which it divides
// the slack: each of many hosts that are cut off would otherwise grant all of it. It is 1 if that number is unknown.
func (f *fleet) reachedFraction() float64 {
	if f.minShares == 0 {
		return 1
	}
	return f.fraction(len(f.serving))
}

// knownShares returns the number of shares according to this host alone.
func (f *fleet) knownShares() int { return max(f.seenShares(), f.minShares) }

// sharers returns the known hosts that have a share, one for each address. A suspected host doesn't serve, but has its
// share.
func (f *fleet) sharers(v View) []member.Host {
	var list []member.Host
	seen := map[netip.AddrPort]bool{}
	for _, h := range v.Hosts {
		_, shares := f.lastSeen[h.Peer]
		if shares && !seen[h.Peer] && (h.State == member.StateAlive || h.State == member.StateSuspect) {
			seen[h.Peer] = true
			list = append(list, h)
		}
	}
	return list
}

// seenShares returns the number of shares according to the member list of this host alone.
func (f *fleet) seenShares() int { return max(1, len(f.lastSeen)) }

// applyReport applies the report in a request of another host. The report expires after provenAfter: that host may have
// discovered hosts that this one discovers a little later.
func (f *fleet) applyReport(now time.Time, args *Args) {
	if args.Parts >= f.reportedShares || now.Sub(f.reportedAt) > provenAfter {
		f.reportedShares, f.reportedAt = args.Parts, now
	}
	if args.Old {
		f.settledAt = time.Time{}
	}
}

// recentlySettled reports whether this host, and possibly the whole fleet, has discovered the others only recently.
func (f *fleet) recentlySettled(now time.Time) bool {
	return f.unsettled || now.Sub(f.settledAt) < settlingPeriod
}

// isFirstDeputy reports whether this host is the first deputy.
func (r *ranking) isFirstDeputy(self string) bool {
	return len(r.deputies) > 0 && r.deputies[0] == self
}

// endStart is called at the end of the start phase. The hosts that are keepers now have been discovered by all others by
// then, as has every host that has a share.
func (f *fleet) endStart(now time.Time) {
	f.startEndedAt, f.keepersSince = now, now.Add(-2*provenAfter)
	f.settledAt = time.Time{}
}
