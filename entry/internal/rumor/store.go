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

// Bounds of the store; docs/design/membership.md has their costs.
const (
	// MaxRumors is the maximum number of rumors held at once, about 1 MB.
	MaxRumors = 4096
	// MaxLifetime is the maximum lifetime of a rumor, so that a host whose clock is wrong can't make one permanent.
	MaxLifetime = time.Hour
	// maxNameBytes is the maximum length of a kind, a service or a key in bytes.
	maxNameBytes = 128
	// maxPerMessage is the maximum number of rumors in one probe.
	maxPerMessage = 3
)

// ErrInvalid is returned for a rumor whose kind, service, key or body has an invalid size.
var ErrInvalid = errors.New("rumor: invalid")

// Store holds facts that every host needs within seconds and none needs for long. Without the bound on their number and
// the expiry, a burst of them would fill the memory of all hosts.
type Store struct {
	clock clock.Clock
	// hosts returns the number of hosts, which determines how often a rumor is sent.
	hosts func() int

	mu          sync.Mutex
	rumors      map[id]*entry
	subscribers map[Kind][]func(Rumor)
	dropped     uint64
}

type id struct {
	kind    Kind
	service string
	key     string
}

type entry struct {
	Rumor
	// sends is the number of times that the rumor was sent; fullySent is set once it needs no more.
	sends       int
	fullySent   bool
	digestEntry digest.Entry
}

// New returns an empty store; hosts returns the number of hosts in the fleet.
func New(c clock.Clock, hosts func() int) *Store {
	return &Store{clock: c, hosts: hosts, rumors: map[id]*entry{}, subscribers: map[Kind][]func(Rumor){}}
}

// Subscribe calls f for each rumor of kind that is alive now or merged later, then on the goroutine that merges it.
func (s *Store) Subscribe(kind Kind, f func(Rumor)) {
	s.mu.Lock()
	s.subscribers[kind] = append(s.subscribers[kind], f)
	s.mu.Unlock()
	for _, r := range s.List(kind) {
		f(r)
	}
}

// Publish adds a rumor of this host and reports whether it changed the store.
func (s *Store) Publish(r Rumor) (bool, error) {
	if err := s.check(r); err != nil {
		return false, err
	}
	return len(s.Merge([]Rumor{r})) == 1, nil
}

func (s *Store) check(r Rumor) error {
	switch {
	case r.Kind == "" || len(r.Kind) > maxNameBytes:
		return fmt.Errorf("%w: kind %.20q is empty or too long", ErrInvalid, r.Kind)
	case r.Key == "" || len(r.Key) > maxNameBytes || len(r.Service) > maxNameBytes:
		return fmt.Errorf("%w: key of %d and service of %d bytes; want 1 to %d and at most %d", ErrInvalid, len(r.Key), len(r.Service), maxNameBytes, maxNameBytes)
	case len(r.Body) > MaxBodyBytes:
		return fmt.Errorf("%w: body of %d bytes; want at most %d", ErrInvalid, len(r.Body), MaxBodyBytes)
	}
	return nil
}

// Merge stores the rumors that are valid, alive and newer than the stored ones, and returns them.
func (s *Store) Merge(list []Rumor) []Rumor {
	var fresh []Rumor
	var calls []func()
	s.mu.Lock()
	now := s.clock.Now()
	for _, r := range list {
		if s.check(r) != nil || !r.Expires.After(now) {
			continue
		}
		if latest := now.Add(MaxLifetime); r.Expires.After(latest) {
			r.Expires = latest
		}
		// Other hosts can't use the monotonic reading, and it would make equal rumors differ.
		r.Expires = r.Expires.Round(0).UTC()
		if !s.put(r) {
			continue
		}
		fresh = append(fresh, r)
		for _, f := range s.subscribers[r.Kind] {
			calls = append(calls, func() { f(r) })
		}
	}
	s.mu.Unlock()
	for _, call := range calls {
		call()
	}
	return fresh
}

// put stores r if it is newer than the stored rumor of its key and there is room, and reports whether it did.
func (s *Store) put(r Rumor) bool {
	at := id{r.Kind, r.Service, r.Key}
	old := s.rumors[at]
	if old != nil && compare(r, old.Rumor) <= 0 {
		return false
	}
	if old == nil && len(s.rumors) >= MaxRumors && !s.makeRoom(r) {
		s.dropped++
		return false
	}
	s.rumors[at] = &entry{Rumor: r, digestEntry: digestEntryOf(r)}
	return true
}

// compare orders rumors of one key by Number; ties only need the same order on all hosts.
func compare(a, b Rumor) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), a.Expires.Compare(b.Expires), bytes.Compare(a.Body, b.Body))
}

// makeRoom removes the expired rumors, or else the one that expires first if r expires later, and reports whether there
// is room for r. All hosts thus keep the same rumors.
func (s *Store) makeRoom(r Rumor) bool {
	now := s.clock.Now()
	var earliestID id
	var earliest *entry
	for at, e := range s.rumors {
		if !e.Expires.After(now) {
			delete(s.rumors, at)
			continue
		}
		if earliest == nil || e.Expires.Before(earliest.Expires) {
			earliestID, earliest = at, e
		}
	}
	if len(s.rumors) < MaxRumors {
		return true
	}
	if !r.Expires.After(earliest.Expires) {
		return false
	}
	delete(s.rumors, earliestID)
	return true
}

// Get returns the rumor of a key if it is alive.
func (s *Store) Get(kind Kind, service, key string) (Rumor, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.rumors[id{kind, service, key}]
	if e == nil || !s.alive(e.Rumor) {
		return Rumor{}, false
	}
	return e.Rumor, true
}

// List returns the rumors of a kind that are alive, in no particular order.
func (s *Store) List(kind Kind) []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Rumor
	for _, e := range s.rumors {
		if e.Kind == kind && s.alive(e.Rumor) {
			list = append(list, e.Rumor)
		}
	}
	return list
}

func (s *Store) alive(r Rumor) bool { return r.Expires.After(s.clock.Now()) }

// Len returns the number of rumors that are alive.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.rumors {
		if s.alive(e.Rumor) {
			n++
		}
	}
	return n
}

// Take returns the rumors for the next message: those sent least often.
func (s *Store) Take() []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*entry
	for at, e := range s.rumors {
		switch {
		case !s.alive(e.Rumor):
			delete(s.rumors, at)
		case !e.fullySent:
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.digestEntry.Key, b.digestEntry.Key))
	})
	var out []Rumor
	limit := 2 * (bits.Len(uint(s.hosts())) + 1)
	for _, e := range list[:min(maxPerMessage, len(list))] {
		out = append(out, e.Rumor)
		e.sends++
		e.fullySent = e.sends >= limit
	}
	return out
}

// Entries returns the digest entry of every rumor that is alive.
func (s *Store) Entries() []digest.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]digest.Entry, 0, len(s.rumors))
	for _, e := range s.rumors {
		if s.alive(e.Rumor) {
			list = append(list, e.digestEntry)
		}
	}
	return list
}

// Rows returns up to limit rumors below p.
func (s *Store) Rows(p digest.Prefix, limit int) []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Rumor
	for _, e := range s.rumors {
		if len(list) == limit {
			break
		}
		if p.Contains(e.digestEntry.Key) && s.alive(e.Rumor) {
			list = append(list, e.Rumor)
		}
	}
	return list
}

// Dropped returns the number of rumors that were rejected because the store was full.
func (s *Store) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// digestEntryOf returns the digest entry of r.
func digestEntryOf(r Rumor) digest.Entry {
	key := hash(string(r.Kind), r.Service, r.Key)
	return digest.Entry{Key: key, Sum: hash(string(r.Kind), r.Service, r.Key, fmt.Sprint(r.Number, r.Expires.UnixNano()), string(r.Body))}
}

func hash(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		// Writing to a hash returns no error.
		_, _ = f.Write([]byte(p))
		_, _ = f.Write([]byte{0})
	}
	return f.Sum64() * 0x9e3779b97f4a7c15
}
