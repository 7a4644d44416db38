package steer

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"guavaspring.org/entry/internal/member"
)

// The weights of hosts. docs/design/addresses.md gives the runs that chose them.
const (
	// otherZone is the weight of a host outside the caller's zone: a third of the callers of each zone already use two
	// zones, so that a zone whose callers are many spills over.
	otherZone = 0.5
	// full is the load from which a host is chosen for fewer callers, and fullWeight its weight then.
	full       = 0.9
	fullWeight = 0.25
	// evenLoad bounds how much load counts among the chosen hosts: an idle one gets three times what a full one gets,
	// no more, since loads lag and callers would all move at once.
	evenLoad = 0.5
	// keepSpread is the part of the time to keep an answer that is drawn at random, so that callers that asked together
	// do not ask together again.
	keepSpread = 0.2
)

// Request is what the decision knows of an address request.
type Request struct {
	Service string
	// Caller names the caller; the same name is given the same hosts as long as they serve.
	Caller string
	// Zone is the caller's availability zone, empty where it did not say.
	Zone string
	// Count is the most hosts wanted.
	Count int
	// Hosts is the most hosts that may hold connections to a replica of the service, those being replaced included.
	Hosts int
	// Keep is how long an answer may be kept.
	Keep time.Duration
}

// Choice is one host that the caller is told to use.
type Choice struct {
	Host member.Host
	// Weight is the share of requests to send there, relative to the other choices.
	Weight float64
}

// Answer is the decision about an address request.
type Answer struct {
	Choices []Choice
	Keep    time.Duration
}

// Options configures a Steerer.
type Options struct {
	// Float64 draws the spread of Keep from [0, 1); nil means rand.Float64.
	Float64 func() float64
}

// Steerer decides which hosts callers use.
//
// It answers callers that come unevenly: many in one zone, or all to the address that is first in the
// answer. Without it hosts differ in load, a caller's hosts change with each answer and its warm connections
// with them, and a service's callers come to hosts that hold no connections to its replicas.
//
// Each service is placed on a few hosts, and each caller is given a few of these, both by rendezvous hashing
// over the hosts' addresses: every host computes the same answer with no word to the others, and a host that
// comes or goes moves only the callers that used it. Hosts that are leaving or suspect are not handed out.
type Steerer struct {
	opts Options

	// placed holds what was worked out for the member list that begins at placedFor.
	mu        sync.Mutex
	placed    map[placement][]member.Host
	placedFor *member.Host
}

// placement is what the hosts of a service depend on besides the member list.
type placement struct {
	service string
	limit   int
}

// New returns a steerer.
func New(opts Options) *Steerer {
	if opts.Float64 == nil {
		opts.Float64 = rand.Float64
	}
	return &Steerer{opts: opts, placed: map[placement][]member.Host{}}
}

// place returns Place for self's host, and keeps it until the member list changes: each request asks whether it came
// to the right host, and looking through 5,600 hosts for each would take a tenth of a core. A member list is a new
// slice after each change and never changes itself.
func (s *Steerer) place(hosts []member.Host, self member.Host, service string, limit int) []member.Host {
	if len(hosts) == 0 {
		return Place(hosts, self, service, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placedFor != &hosts[0] {
		s.placedFor = &hosts[0]
		clear(s.placed)
	}
	key := placement{service, limit}
	list, ok := s.placed[key]
	if !ok {
		list = Place(hosts, self, service, limit)
		s.placed[key] = list
	}
	return list
}

// Pick answers a request that self received; hosts holds self too. There is always a choice, self if no other serves.
func (s *Steerer) Pick(hosts []member.Host, self member.Host, req Request) Answer {
	candidates := s.place(hosts, self, req.Service, req.Hosts)
	chosen := choose(candidates, req)
	ans := Answer{Choices: make([]Choice, len(chosen)), Keep: s.keep(req.Keep)}
	for i, h := range chosen {
		ans.Choices[i] = Choice{Host: h, Weight: zoneWeight(&h, req.Zone) / (evenLoad + h.Load)}
	}
	return ans
}

func (s *Steerer) keep(d time.Duration) time.Duration {
	return d - time.Duration(s.opts.Float64()*keepSpread*float64(d))
}

// Place returns the hosts that serve a service in self's region: all of them as long as there are at most limit, else
// the few that come first for its name.
//
// A host has connections for about one service at the largest size. Callers that came to any host would make each host
// open connections to each service's replicas, beyond what the replicas take. One in eight of limit is left for hosts
// that are being replaced, whose connections are still open.
func Place(hosts []member.Host, self member.Host, service string, limit int) []member.Host {
	state := member.StateAlive
	if !has(hosts, self.Region, state) {
		// Every other host is suspect or gone, which is more likely an error of this one: hand out what may still
		// serve.
		state = member.StateSuspect
	}
	n := count(hosts, self.Region, state)
	switch {
	case n == 0:
		return []member.Host{self}
	case n > limit:
		n = max(1, limit-(limit+7)/8)
	}
	return top(hosts, n, func(h *member.Host) float64 {
		if h.Region != self.Region || h.State != state {
			return 0
		}
		return score(1, service, "", h.Caller)
	})
}

// Serves reports whether callers of a service should use self; where not, it still serves those that come.
func (s *Steerer) Serves(hosts []member.Host, self member.Host, service string, limit int) bool {
	if self.State == member.StateLeaving {
		return false
	}
	return slices.ContainsFunc(s.place(hosts, self, service, limit), func(h member.Host) bool { return h.ID == self.ID })
}

func has(hosts []member.Host, region string, state member.State) bool {
	return slices.ContainsFunc(hosts, func(h member.Host) bool { return h.Region == region && h.State == state })
}

func count(hosts []member.Host, region string, state member.State) int {
	n := 0
	for i := range hosts {
		if hosts[i].Region == region && hosts[i].State == state {
			n++
		}
	}
	return n
}

// choose takes the caller's hosts by weighted rendezvous hashing, and sees to it that they are not all in one zone.
func choose(hosts []member.Host, req Request) []member.Host {
	ranked := func(h *member.Host) float64 { return score(rankWeight(h, req.Zone), req.Service, req.Caller, h.Caller) }
	n := max(1, req.Count)
	chosen := top(hosts, n, ranked)
	if n < 2 || len(chosen) < n || !sameZone(chosen) {
		return chosen
	}
	// A zone that fails would take all of the caller's hosts at once.
	elsewhere := func(h *member.Host) float64 {
		if h.Zone == chosen[0].Zone {
			return 0
		}
		return ranked(h)
	}
	if spare := top(hosts, 1, elsewhere); len(spare) > 0 {
		chosen[n-1] = spare[0]
	}
	return chosen
}

func sameZone(hosts []member.Host) bool {
	return !slices.ContainsFunc(hosts, func(h member.Host) bool { return h.Zone != hosts[0].Zone })
}

func zoneWeight(h *member.Host, zone string) float64 {
	if zone != "" && h.Zone != zone {
		return otherZone
	}
	return 1
}

// rankWeight looks at load in one step only: if it followed the load, the caller's hosts would change with it.
func rankWeight(h *member.Host, zone string) float64 {
	w := zoneWeight(h, zone)
	if h.Load >= full {
		return w * fullWeight
	}
	return w
}

// top returns the n hosts with the highest rank above 0, highest first; n is small, so that a fleet is looked through
// once and not sorted.
func top(hosts []member.Host, n int, rank func(h *member.Host) float64) []member.Host {
	type ranked struct {
		host *member.Host
		rank float64
	}
	best := make([]ranked, 0, n+1)
	for i := range hosts {
		r := ranked{&hosts[i], rank(&hosts[i])}
		if r.rank <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		if at < n {
			best = slices.Insert(best, at, r)[:min(len(best)+1, n)]
		}
	}
	list := make([]member.Host, len(best))
	for i, r := range best {
		list[i] = *r.host
	}
	return list
}

// score is the weighted rendezvous score: of two hosts, each comes first for a share of names that is proportional to
// its weight.
//
// It hashes the address rather than the ID, so that a host that was restarted gets its callers back.
func score(weight float64, service, caller string, host netip.AddrPort) float64 {
	f := fnv.New64a()
	for _, s := range [...]string{service, caller} {
		// Writing to a hash returns no error.
		_, _ = f.Write([]byte(s))
		_, _ = f.Write([]byte{0})
	}
	b := host.Addr().As16()
	_, _ = f.Write(b[:])
	_, _ = f.Write([]byte{byte(host.Port() >> 8), byte(host.Port())})
	unit := (float64(mix(f.Sum64())>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// mix spreads every input bit over the word; FNV alone leaves the high bits of similar inputs alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
