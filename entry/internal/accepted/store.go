package accepted

import (
	"cmp"
	"slices"
	"sync"

	"guavaspring.org/entry/internal/digest"
)

// Store holds the highest known generation of each service.
type Store struct {
	mu        sync.RWMutex
	byService map[string]Generation
	// onChange is called after a higher generation came into force, one call at a time.
	onChange func(Generation)
	offerMu  sync.Mutex
}

// New returns an empty store that calls onChange, if not nil, after each change.
func New(onChange func(Generation)) *Store {
	return &Store{byService: map[string]Generation{}, onChange: onChange}
}

// Offer puts gen in force if its number is higher than the known one, and reports whether it did.
//
// It handles generations from every source: the platform, whose reads may lag, and peers, which may have been paused.
// Accepting only higher numbers ensures that an accepted generation is never reverted.
func (s *Store) Offer(gen Generation) bool {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	s.mu.Lock()
	if old, ok := s.byService[gen.Service]; ok && old.Number >= gen.Number {
		s.mu.Unlock()
		return false
	}
	s.byService[gen.Service] = gen
	s.mu.Unlock()
	if s.onChange != nil {
		s.onChange(gen)
	}
	return true
}

// Get returns the generation in force for a service.
func (s *Store) Get(service string) (Generation, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	gen, ok := s.byService[service]
	return gen, ok
}

// All returns the generations in force of all services, in no order.
func (s *Store) All() []Generation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Generation, 0, len(s.byService))
	for _, gen := range s.byService {
		list = append(list, gen)
	}
	return list
}

// Marks returns the marks of all services below p, ordered by service.
func (s *Store) Marks(p digest.Prefix) []Mark {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Mark, 0, len(s.byService))
	for name, gen := range s.byService {
		if m := (Mark{Service: name, Number: gen.Number}); p.Contains(m.Key()) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Mark) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Entries returns the digest entries of all services.
func (s *Store) Entries() []digest.Entry {
	marks := s.Marks(digest.Prefix{})
	entries := make([]digest.Entry, len(marks))
	for i, m := range marks {
		entries[i] = digest.Entry{Key: m.Key(), Sum: m.Sum()}
	}
	return entries
}

// IsNewer reports whether the number of m is higher than that of the generation in force here.
func (s *Store) IsNewer(m Mark) bool {
	gen, ok := s.Get(m.Service)
	return !ok || gen.Number < m.Number
}
