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

// The weights of hosts; see docs/design/addresses.md.
const (
	// otherZoneWeight is the weight of a host outside the caller's zone. With it, a third of the callers of each zone
	// use hosts in two zones, so that a zone with many callers spills over.
	otherZoneWeight = 0.5
	// fullLoad is the load from which a host is chosen for fewer callers, and fullWeight the factor on its weight then.
	fullLoad   = 0.9
	fullWeight = 0.25
	// loadOffset is added to the load that a weight is divided by, which limits the effect of load: an idle host gets
	// three times the requests of a full one and no more, since reported loads lag and all callers would move at once.
	loadOffset = 0.5
	// keepJitter is the random part (jitter) of the time for which an answer is kept, so that callers that asked at the
	// same time don't ask at the same time again.
	keepJitter = 0.2
)

// Request holds the inputs of an address request.
type Request struct {
	Service string
	// Caller is the caller's name; the same name gets the same hosts as long as they serve.
	Caller string
	// Zone is the caller's availability zone, empty if unknown.
	Zone string
	// Count is the maximum number of hosts to return.
	Count int
	// Hosts is the maximum number of hosts that may hold connections to a replica of the service, including hosts that
	// are being replaced.
	Hosts int
	// Keep is the maximum time for which an answer may be kept.
	Keep time.Duration
}

// Choice is a host that the caller is directed to.
type Choice struct {
	Host member.Host
	// Weight is the share of requests to send there, relative to the other choices.
	Weight float64
}

// Answer is the result of an address request.
type Answer struct {
	Choices []Choice
	Keep    time.Duration
}

// Options configures a Selector.
type Options struct {
	// Float64 returns a random number in [0, 1) for the jitter of Keep; nil means rand.Float64.
	Float64 func() float64
}

// Selector selects the hosts that callers use.
//
// It evens out callers that arrive unevenly: many in one zone, or all at the first address of the answer. Without it
// the hosts' loads differ, a caller's hosts change with each answer so that its warm connections are lost, and callers
// of a service use hosts without connections to its replicas.
//
// Each service is placed on a few hosts and each caller gets a few of these, both by rendezvous hashing over the hosts'
// addresses: every host computes the same answer without coordination, and a host that joins or leaves moves only the
// callers that used it. Hosts that are leaving or suspect are not returned.
type Selector struct {
	opts Options

	// cache holds the hosts of each service for the member list whose first element is cachedFor.
	mu        sync.Mutex
	cache     map[placementKey][]member.Host
	cachedFor *member.Host
}

// placementKey is the cache key of a service's hosts within one member list.
type placementKey struct {
	service string
	limit   int
}

// New returns a Selector with the given options.
func New(opts Options) *Selector {
	if opts.Float64 == nil {
		opts.Float64 = rand.Float64
	}
	return &Selector{opts: opts, cache: map[placementKey][]member.Host{}}
}

// place returns the result of Place for self, cached until the member list changes: each request checks whether it
// arrived at the right host, and scanning 5,600 hosts for each would take a tenth of a core. A changed member list is a
// new slice, and a slice in use is never modified.
func (s *Selector) place(hosts []member.Host, self member.Host, service string, limit int) []member.Host {
	if len(hosts) == 0 {
		return Place(hosts, self, service, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedFor != &hosts[0] {
		s.cachedFor = &hosts[0]
		clear(s.cache)
	}
	key := placementKey{service, limit}
	list, ok := s.cache[key]
	if !ok {
		list = Place(hosts, self, service, limit)
		s.cache[key] = list
	}
	return list
}

// Pick answers an address request that self received; hosts contains self. It returns at least one choice, self if no
// other host serves.
func (s *Selector) Pick(hosts []member.Host, self member.Host, req Request) Answer {
	candidates := s.place(hosts, self, req.Service, req.Hosts)
	chosen := choose(candidates, req)
	ans := Answer{Choices: make([]Choice, len(chosen)), Keep: s.keep(req.Keep)}
	for i, h := range chosen {
		ans.Choices[i] = Choice{Host: h, Weight: zoneWeight(&h, req.Zone) / (loadOffset + h.Load)}
	}
	return ans
}

func (s *Selector) keep(d time.Duration) time.Duration {
	return d - time.Duration(s.opts.Float64()*keepJitter*float64(d))
}

// Place returns the hosts that serve a service in self's region: all of them if there are at most limit, else the first
// few in the rendezvous order of the service's name.
//
// At the largest size a host has connections for about one service. Callers that used any host would make each host
// open connections to the replicas of each service, more than the replicas accept. One in eight of limit is reserved
// for hosts that are being replaced, whose connections are still open.
func Place(hosts []member.Host, self member.Host, service string, limit int) []member.Host {
	state := member.StateAlive
	if !has(hosts, self.Region, state) {
		// If every other host is suspect or gone, the fault is more likely on this host: return hosts that may still
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

// Serves reports whether callers of a service should use self. A host for which it returns false still serves requests
// that arrive.
func (s *Selector) Serves(hosts []member.Host, self member.Host, service string, limit int) bool {
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

// choose selects the caller's hosts by weighted rendezvous hashing, in more than one zone where possible.
func choose(hosts []member.Host, req Request) []member.Host {
	ranked := func(h *member.Host) float64 { return score(rankWeight(h, req.Zone), req.Service, req.Caller, h.Caller) }
	n := max(1, req.Count)
	chosen := top(hosts, n, ranked)
	if n < 2 || len(chosen) < n || !sameZone(chosen) {
		return chosen
	}
	// If all of the caller's hosts were in one zone, its failure would take them all at once.
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
		return otherZoneWeight
	}
	return 1
}

// rankWeight takes load into account in a single step: with a continuous weight, the caller's hosts would change with
// each change of load.
func rankWeight(h *member.Host, zone string) float64 {
	w := zoneWeight(h, zone)
	if h.Load >= fullLoad {
		return w * fullWeight
	}
	return w
}

// top returns the n hosts with the highest rank above 0, highest first. As n is small, it scans the hosts once instead
// of sorting them.
func top(hosts []member.Host, n int, rank func(h *member.Host) float64) []member.Host {
	type ranked struct {
		host *member.Host
		rank float64
	}
	n = min(max(n, 0), len(hosts))
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

// score returns the weighted rendezvous score: each of two hosts ranks first for a share of names proportional to its
// weight.
//
// It hashes the address instead of the ID, so that a restarted host gets its callers back.
func score(weight float64, service, caller string, host netip.AddrPort) float64 {
	f := fnv.New64a()
	for _, s := range [...]string{service, caller} {
		// Writing to a hash never fails.
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
