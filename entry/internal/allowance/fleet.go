package allowance

import (
	"net/netip"
	"slices"
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// rememberFor is how long a missing host keeps its share of every limit, as it may be partitioned and still run. Hosts
	// that are gone for good are replaced within a minute.
	rememberFor = time.Minute
	// noteEvery is the interval at which the serving hosts are recorded.
	noteEvery = time.Second
	// provenFor is how long a host must be known before it can be a keeper. A host that has just started doesn't have the
	// member list yet, and the buckets that it would hold already have a keeper.
	provenFor = 2 * time.Second
	// mostKeepers is the maximum number of hosts that are keepers. It bounds the connections of each host.
	mostKeepers = 16
	// mostDeputies is the maximum number of deputies of a customer.
	mostDeputies = 3
	// keepers is the key by which hosts are ranked to choose the keepers.
	keepers = "allowance keepers"
)

// fleet derives each customer's keeper and the number of shares of a limit from the serving hosts.
type fleet struct {
	// serving lists the serving hosts of the latest view, and since is when the keepers last changed.
	serving []member.Host
	since   time.Time
	// self is the ID of this host.
	self string
	// keepers lists the hosts that can be keepers, and ranked caches the ranking of each customer.
	keepers []member.Host
	ranked  map[string]ranking
	// proven lists the serving hosts that have been known for at least provenFor. met holds when each serving host was
	// first seen, by ID. provenAt is when the next host becomes proven, or zero if all are.
	proven   []member.Host
	met      map[string]time.Time
	provenAt time.Time
	// seen holds when each serving host was last seen, by address, as of noted.
	seen  map[netip.AddrPort]time.Time
	noted time.Time
	// reported is the number of shares that other hosts divide a limit into, as of reportedAt.
	reported   int
	reportedAt time.Time
	// settledAt is when this host had discovered the others. It is zero if it had done so before the first update, has not
	// done so yet, or another host reported to have done so long ago.
	settledAt time.Time
	unsettled bool
}

// ranking holds the keeper and deputies of one customer.
type ranking struct {
	// keeper is the ID of the customer's keeper. Hosts that can't reach it ask the deputies in this order.
	keeper   string
	deputies []string
	// place is the rank of this host among the serving hosts, or their number if it doesn't serve.
	place int
}

func newFleet() fleet {
	return fleet{met: map[string]time.Time{}, seen: map[netip.AddrPort]time.Time{}}
}

// update applies a view and reports whether the keepers may have changed.
func (f *fleet) update(now time.Time, v View) bool {
	if f.unsettled && v.Settled {
		f.settledAt = now
	}
	f.unsettled = !v.Settled
	changed := !same(f.serving, v.Serving)
	if changed || now.Sub(f.noted) > noteEvery {
		f.note(now, v)
	}
	if !changed && (f.provenAt.IsZero() || now.Before(f.provenAt)) {
		return false
	}
	f.self, f.serving, f.since, f.ranked = v.Self, v.Serving, now, map[string]ranking{}
	f.meet(now, v)
	f.prove(now)
	f.keepers = member.Ranked(f.proven, keepers)
	f.keepers = f.keepers[:min(mostKeepers, len(f.keepers))]
	return true
}

// same reports whether two lists contain the same hosts in the same order.
func same(a, b []member.Host) bool {
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

// note records which hosts serve now. It drops hosts that have not served for rememberFor, and hosts that are alive but
// don't serve any more, as these use no share.
func (f *fleet) note(now time.Time, v View) {
	f.noted = now
	if !v.Settled {
		// Until the others are discovered, hosts that are too weak to serve count as serving, too.
		clear(f.seen)
	}
	for _, h := range v.Hosts {
		if h.State == member.StateAlive {
			delete(f.seen, h.Peer)
		}
	}
	for _, h := range v.Serving {
		f.seen[h.Peer] = now
	}
	for addr, at := range f.seen {
		if now.Sub(at) > rememberFor {
			delete(f.seen, addr)
		}
	}
}

// meet records when the hosts were first seen. On a host that has just started, or on the first update, all hosts are new,
// so that all count as proven.
func (f *fleet) meet(now time.Time, v View) {
	before := f.met
	f.met = make(map[string]time.Time, len(f.serving))
	for _, h := range f.serving {
		at, known := before[h.ID]
		switch {
		case known:
		case !v.Settled, len(before) == 0:
			at = now.Add(-provenFor)
		default:
			at = now
		}
		f.met[h.ID] = at
	}
}

// prove collects the serving hosts that have been known for at least provenFor.
func (f *fleet) prove(now time.Time) {
	f.proven, f.provenAt = nil, time.Time{}
	for _, h := range f.serving {
		at := f.met[h.ID].Add(provenFor)
		if !now.Before(at) {
			f.proven = append(f.proven, h)
			continue
		}
		if f.provenAt.IsZero() || at.Before(f.provenAt) {
			f.provenAt = at
		}
	}
}

// of returns the ranking of a customer.
func (f *fleet) of(customer string) ranking {
	r, ok := f.ranked[customer]
	if ok {
		return r
	}
	r.place = len(f.serving)
	for i, h := range member.Ranked(f.serving, customer) {
		if h.ID == f.self {
			r.place = i
		}
	}
	list := member.Ranked(f.keepers, customer)
	if len(list) > 0 {
		r.keeper = list[0].ID
	}
	for n := 1; n < min(len(list), 1+mostDeputies); n++ {
		r.deputies = append(r.deputies, list[n].ID)
	}
	f.ranked[customer] = r
	return r
}

// serves reports whether this host is a serving host.
func (f *fleet) serves() bool {
	return slices.ContainsFunc(f.serving, func(h member.Host) bool { return h.ID == f.self })
}

// keeps reports whether this host is a customer's keeper.
func (f *fleet) keeps(customer string) bool { return f.self != "" && f.of(customer).keeper == f.self }

// host returns the keeper candidate with the given ID.
func (f *fleet) host(id string) member.Host {
	for _, h := range f.keepers {
		if h.ID == id {
			return h
		}
	}
	return member.Host{}
}

// parts returns the number of shares that a limit is divided into: one for each host that serves or served recently,
// according to this host or one that has asked it.
func (f *fleet) parts() float64 { return float64(max(f.known(), f.reported)) }

// share returns the given number of shares as a fraction of the limit.
func (f *fleet) share(parts int) float64 { return min(1, float64(parts)/f.parts()) }

// known returns the number of shares according to this host alone.
func (f *fleet) known() int { return max(1, len(f.seen)) }

// hear applies the report in a request of another host. The report expires after provenFor: that host may have discovered
// hosts that this one discovers a little later.
func (f *fleet) hear(now time.Time, args *Args) {
	if args.Parts >= f.reported || now.Sub(f.reportedAt) > provenFor {
		f.reported, f.reportedAt = args.Parts, now
	}
	if args.Old {
		f.settledAt = time.Time{}
	}
}

// young reports whether this host, and possibly the whole fleet, has discovered the others only recently.
func (f *fleet) young(now time.Time) bool { return f.unsettled || now.Sub(f.settledAt) < youngFor }

// first reports whether this host is the first deputy.
func (r *ranking) first(self string) bool { return len(r.deputies) > 0 && r.deputies[0] == self }
