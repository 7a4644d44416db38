package explain

import (
	"sync"
	"time"
)

// Decision is one decision of the host about a request.
type Decision struct {
	// AtMS is the time of the decision, in milliseconds after the request arrived.
	AtMS float64 `json:"at_ms"`
	// What is the kind of decision, such as "route", "hedge", "retry", "miss" or "refuse".
	What string `json:"what"`
	// Shard is the shard concerned, -1 if the decision concerns the whole request.
	Shard int `json:"shard"`
	// Replica is the replica concerned, if any.
	Replica string `json:"replica,omitempty"`
	// Why is the reason as text.
	Why string `json:"why,omitempty"`
}

// Millis returns d in milliseconds, with microsecond precision, the unit of AtMS and TookMS.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Record explains one response.
type Record struct {
	ID        string     `json:"id"`
	RequestID string     `json:"request_id"`
	Service   string     `json:"service"`
	Caller    string     `json:"caller"`
	Arrived   time.Time  `json:"arrived"`
	TookMS    float64    `json:"took_ms"`
	Outcome   string     `json:"outcome"`
	Reason    string     `json:"reason,omitempty"`
	Decisions []Decision `json:"decisions"`
}

// Store keeps a bounded number of the latest records of this host.
type Store struct {
	mu   sync.Mutex
	buf  []*Record
	next int
	byID map[string]*Record
}

// New returns a store of the latest size records; it panics if size is not positive.
func New(size int) *Store {
	if size <= 0 {
		panic("explain: size must be positive")
	}
	return &Store{buf: make([]*Record, size), byID: make(map[string]*Record, size)}
}

// Add stores rec, in place of the oldest record if the store is full.
func (s *Store) Add(rec *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.buf[s.next]; old != nil {
		delete(s.byID, old.ID)
	}
	s.buf[s.next] = rec
	s.byID[rec.ID] = rec
	s.next = (s.next + 1) % len(s.buf)
}

// Get returns the record with the id, if it is still stored.
func (s *Store) Get(id string) (*Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.byID[id]
	return rec, ok
}
