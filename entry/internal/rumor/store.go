package rumor

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math/bits"
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/digest"
)

// Bounds of the store; docs/design/membership.md says what they cost.
const (
	// MaxRumors bounds the rumors held at once, about 1 MB.
	MaxRumors = 4096
	// MaxLife is the longest that a rumor lives, so that a host whose clock is wrong can't make one last.
	MaxLife = time.Hour
	maxName = 128
	// perMessage is the most rumors that ride on one probe.
	perMessage = 3
)

// ErrInvalid is returned for a rumor that can't be published.
var ErrInvalid = errors.New("rumor: invalid")

// Store holds the rumors that are alive. It answers the load of facts that every host needs within seconds and that
// nobody must keep for good: without the bound, or the expiry, a burst of them would fill the memory of all hosts.
type Store struct {
	clock clock.Clock
	// Hosts returns the number of hosts, which decides how often a rumor is passed on.
	hosts func() int

	mu      sync.Mutex
	all     map[id]*entry
	byKind  map[Kind][]func(Rumor)
	dropped uint64
}

type id struct {
	kind    Kind
	service string
	key     string
}

type entry struct {
	Rumor
	sends int
	spent bool
	place digest.Entry
}

// New returns an empty store; hosts returns the number of hosts in the fleet.
func New(c clock.Clock, hosts func() int) *Store {
	return &Store{clock: c, hosts: hosts, all: map[id]*entry{}, byKind: map[Kind][]func(Rumor){}}
}

// Subscribe calls f, on the goroutine that brings the news, for each rumor of kind that is alive now or comes later.
func (s *Store) Subscribe(kind Kind, f func(Rumor)) {
	s.mu.Lock()
	s.byKind[kind] = append(s.byKind[kind], f)
	s.mu.Unlock()
	for _, r := range s.List(kind) {
		f(r)
	}
}

// Publish takes over a rumor of this host's own and reports whether it was news.
func (s *Store) Publish(r Rumor) (bool, error) {
	if err := s.check(r); err != nil {
		return false, err
	}
	return len(s.Merge([]Rumor{r})) == 1, nil
}

func (s *Store) check(r Rumor) error {
	switch {
	case r.Kind == "" || len(r.Kind) > maxName:
		return fmt.Errorf("%w: kind %.20q", ErrInvalid, r.Kind)
	case r.Key == "" || len(r.Key) > maxName || len(r.Service) > maxName:
		return fmt.Errorf("%w: key of %d and service of %d bytes; want 1 to %d and at most %d", ErrInvalid, len(r.Key), len(r.Service), maxName, maxName)
	case len(r.Body) > MaxBody:
		return fmt.Errorf("%w: body of %d bytes; want at most %d", ErrInvalid, len(r.Body), MaxBody)
	}
	return nil
}

// Merge takes over the rumors that are news and returns them.
func (s *Store) Merge(list []Rumor) []Rumor {
	var fresh []Rumor
	var calls []func()
	s.mu.Lock()
	now := s.clock.Now()
	for _, r := range list {
		if s.check(r) != nil || !r.Expires.After(now) {
			continue
		}
		if latest := now.Add(MaxLife); r.Expires.After(latest) {
			r.Expires = latest
		}
		// The monotonic reading means nothing to other hosts, and would make equal rumors differ.
		r.Expires = r.Expires.Round(0).UTC()
		if !s.put(r) {
			continue
		}
		fresh = append(fresh, r)
		for _, f := range s.byKind[r.Kind] {
			calls = append(calls, func() { f(r) })
		}
	}
	s.mu.Unlock()
	for _, call := range calls {
		call()
	}
	return fresh
}

func (s *Store) put(r Rumor) bool {
	at := id{r.Kind, r.Service, r.Key}
	old := s.all[at]
	if old != nil && compare(r, old.Rumor) <= 0 {
		return false
	}
	if old == nil && len(s.all) >= MaxRumors && !s.makeRoom(r) {
		s.dropped++
		return false
	}
	s.all[at] = &entry{Rumor: r, place: place(r)}
	return true
}

// compare orders rumors of one key; beyond Number it only has to be the same order on all hosts.
func compare(a, b Rumor) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), a.Expires.Compare(b.Expires), bytes.Compare(a.Body, b.Body))
}

// makeRoom drops what is expired, or else the rumor that expires first if r outlives it: all hosts then keep the same
// ones.
func (s *Store) makeRoom(r Rumor) bool {
	now := s.clock.Now()
	var first id
	var least *entry
	for at, e := range s.all {
		if !e.Expires.After(now) {
			delete(s.all, at)
			continue
		}
		if least == nil || e.Expires.Before(least.Expires) {
			first, least = at, e
		}
	}
	if len(s.all) < MaxRumors {
		return true
	}
	if !r.Expires.After(least.Expires) {
		return false
	}
	delete(s.all, first)
	return true
}

// Get returns the rumor of a key if it is alive.
func (s *Store) Get(kind Kind, service, key string) (Rumor, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[id{kind, service, key}]
	if e == nil || !s.alive(e.Rumor) {
		return Rumor{}, false
	}
	return e.Rumor, true
}

// List returns the rumors of a kind that are alive, in no order.
func (s *Store) List(kind Kind) []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Rumor
	for _, e := range s.all {
		if e.Kind == kind && s.alive(e.Rumor) {
			list = append(list, e.Rumor)
		}
	}
	return list
}

func (s *Store) alive(r Rumor) bool { return r.Expires.After(s.clock.Now()) }

// Len returns how many rumors are alive.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.all {
		if s.alive(e.Rumor) {
			n++
		}
	}
	return n
}

// Take returns the rumors that ride on the next message: those passed on least often.
func (s *Store) Take() []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*entry
	for at, e := range s.all {
		switch {
		case !s.alive(e.Rumor):
			delete(s.all, at)
		case !e.spent:
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.place.Key, b.place.Key))
	})
	var out []Rumor
	limit := 2 * (bits.Len(uint(s.hosts())) + 1)
	for _, e := range list[:min(perMessage, len(list))] {
		out = append(out, e.Rumor)
		e.sends++
		e.spent = e.sends >= limit
	}
	return out
}

// Entries returns the digest entry of every rumor that is alive.
func (s *Store) Entries() []digest.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]digest.Entry, 0, len(s.all))
	for _, e := range s.all {
		if s.alive(e.Rumor) {
			list = append(list, e.place)
		}
	}
	return list
}

// Rows returns up to most rumors below p.
func (s *Store) Rows(p digest.Prefix, most int) []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Rumor
	for _, e := range s.all {
		if len(list) == most {
			break
		}
		if p.Holds(e.place.Key) && s.alive(e.Rumor) {
			list = append(list, e.Rumor)
		}
	}
	return list
}

// Dropped returns how many rumors were dropped because the store was full.
func (s *Store) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

func place(r Rumor) digest.Entry {
	key := sum(string(r.Kind), r.Service, r.Key)
	return digest.Entry{Key: key, Sum: sum(string(r.Kind), r.Service, r.Key, fmt.Sprint(r.Number, r.Expires.UnixNano()), string(r.Body))}
}

func sum(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		// Writing to a hash returns no error.
		_, _ = f.Write([]byte(p))
		_, _ = f.Write([]byte{0})
	}
	return f.Sum64() * 0x9e3779b97f4a7c15
}
