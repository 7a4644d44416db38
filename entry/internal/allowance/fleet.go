package allowance

import (
	"net/netip"
	"slices"
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// rememberFor is how long a host that has vanished keeps its part of every limit: it may be cut off and go on. Hosts
	// that are gone for good are replaced within a minute.
	rememberFor = time.Minute
	// noteEvery is how often it is noted which hosts serve.
	noteEvery = time.Second
	// provenFor is how long a host is known before it keeps buckets: one that has just started doesn't know the others,
	// and what it would keep is in good hands.
	provenFor = 2 * time.Second
	// mostKeepers is how many hosts keep buckets, so that each host has connections to few.
	mostKeepers = 16
	// mostDeputies is how many hosts are asked in a keeper's place.
	mostDeputies = 3
	// keepers is the purpose by which the hosts are ranked that keep buckets.
	keepers = "allowance keepers"
)

// fleet is what follows from the serving hosts: who keeps which customer's bucket, and how many parts a limit has.
type fleet struct {
	// serving are the hosts of the newest view, and since is when the keepers became what they are.
	serving []member.Host
	since   time.Time
	// self is this host.
	self string
	// keepers are those that keep buckets, and ranked what was worked out for each customer.
	keepers []member.Host
	ranked  map[string]ranking
	// proven are the serving hosts that are known for long enough, met holds when each serving host was first seen, by
	// id, and provenAt when the next of them is proven; zero means that all are.
	proven   []member.Host
	met      map[string]time.Time
	provenAt time.Time
	// seen holds when each serving host was seen last, by address, as of noted.
	seen  map[netip.AddrPort]time.Time
	noted time.Time
	// reported is into how many parts other hosts cut a limit, as of reportedAt.
	reported   int
	reportedAt time.Time
	// settledAt is when this host had met the others; zero where it had when it looked first, has not yet, or knows that
	// another one had long before.
	settledAt time.Time
	unsettled bool
}

// ranking is what follows from the serving hosts for one customer.
type ranking struct {
	// keeper keeps the customer's bucket, and deputies are asked in turn by those that don't reach it.
	keeper   string
	deputies []string
	// place is that of this host among the serving ones, or their number where it isn't one of them.
	place int
}

func newFleet() fleet {
	return fleet{met: map[string]time.Time{}, seen: map[netip.AddrPort]time.Time{}}
}

// update takes over a view and reports whether the keepers may have changed.
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

// same reports whether two lists name the same hosts.
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

// note records which hosts serve now, and drops those that have not for a while, and those that live and don't serve any
// more, which use no part.
func (f *fleet) note(now time.Time, v View) {
	f.noted = now
	if !v.Settled {
		// Of the few hosts that it knows the weak ones serve, too.
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

// meet notes when the hosts were first seen. A host that has just started itself, or looks for the first time, can't
// distinguish them, and assumes that all are proven.
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

// prove finds the serving hosts that are known for long enough.
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

// of returns what follows for a customer.
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

// serves reports whether clients are sent to this host.
func (f *fleet) serves() bool {
	return slices.ContainsFunc(f.serving, func(h member.Host) bool { return h.ID == f.self })
}

// keeps reports whether this host is a customer's keeper.
func (f *fleet) keeps(customer string) bool { return f.self != "" && f.of(customer).keeper == f.self }

// host returns the serving host with an id.
func (f *fleet) host(id string) member.Host {
	for _, h := range f.keepers {
		if h.ID == id {
			return h
		}
	}
	return member.Host{}
}

// parts returns into how many parts a limit is cut: one for each host that serves, or did a moment ago, as far as this
// host or one that has asked it knows.
func (f *fleet) parts() float64 { return float64(max(f.known(), f.reported)) }

// share returns which share of a limit some parts are.
func (f *fleet) share(parts int) float64 { return min(1, float64(parts)/f.parts()) }

// known returns the same as far as this host knows.
func (f *fleet) known() int { return max(1, len(f.seen)) }

// hear takes over what a host reports with its question. It counts for a moment: that host may have met others which this
// one learns of a little later.
func (f *fleet) hear(now time.Time, args *Args) {
	if args.Parts >= f.reported || now.Sub(f.reportedAt) > provenFor {
		f.reported, f.reportedAt = args.Parts, now
	}
	if args.Old {
		f.settledAt = time.Time{}
	}
}

// young reports whether this host, and perhaps all others, have met a moment ago.
func (f *fleet) young(now time.Time) bool { return f.unsettled || now.Sub(f.settledAt) < youngFor }

// first reports whether this host is the first that is asked in a keeper's place.
func (r *ranking) first(self string) bool { return len(r.deputies) > 0 && r.deputies[0] == self }
