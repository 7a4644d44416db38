package endpoints

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/spend"
)

const (
	// lapseFor is how long replicas that vanished from the store while it was away are still used after its return: those that live
	// are back within about two seconds.
	lapseFor = 2500 * time.Millisecond
	// connsPart is the part of a replica's connections that the hosts share; the rest is for those that join, and for connections that
	// the replica still counts while they close.
	connsPart = 0.8
	// leastConns is what each host may always hold: one for a request and one for a second try.
	leastConns = 2
	// defaultConns stands in for a service whose limit is not configured.
	defaultConns = 8
)

// Options configures a Table.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Zone is the host's own availability zone.
	Zone  string
	Codec *opaque.Codec
	Spend spend.Options
	// Share returns the part, 0 to 1, of what all hosts together may do that this host takes.
	Share func() float64
	// Dial opens a connection to a replica; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Table holds the replicas of all services.
type Table struct {
	opts Options

	mu       sync.Mutex
	services map[string]*Service
	replicas map[string]*Replica
	limits   map[string]route.Service
	listed   bool
	// dialed counts the connections to replicas that are gone.
	dialed uint64
}

// New returns a table without replicas.
func New(opts Options) *Table {
	return &Table{opts: opts, services: map[string]*Service{}, replicas: map[string]*Replica{}}
}

// Service returns a service, which need not have replicas.
func (t *Table) Service(name string) *Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(name)
}

func (t *Table) service(name string) *Service {
	s := t.services[name]
	if s == nil {
		s = &Service{Name: name, Budget: spend.New(t.opts.Spend), part: t.opts.Share}
		s.list.Store(&[]*Replica{})
		s.conns.Store(int64(t.connections(name)))
		t.services[name] = s
	}
	return s
}

func (t *Table) connections(name string) int {
	limit, ok := t.limits[name]
	if !ok || limit.MaxConns <= 0 {
		return defaultConns
	}
	return max(leastConns, int(connsPart*float64(limit.MaxConns)*t.opts.Share()))
}

// SetLimits takes over the configured limits of all services; it is called again when the number of hosts changes.
func (t *Table) SetLimits(limits map[string]route.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
	for name, s := range t.services {
		s.conns.Store(int64(t.connections(name)))
	}
}

// Replace takes over a list of all replicas; returned says that the store was away before it.
func (t *Table) Replace(batch feed.Batch[platform.Replica], returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		present[e.Name] = true
		t.set(e.Value)
	}
	for id := range t.replicas {
		if !present[id] {
			t.remove(id, returned)
		}
	}
	t.listed = true
	t.publish()
}

// Change takes over replicas that changed.
func (t *Table) Change(batch feed.Batch[platform.Replica], returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range batch.Entries {
		if e.Deleted {
			t.remove(e.Name, returned)
			continue
		}
		t.set(e.Value)
	}
	t.publish()
}

// Dialed returns how many connections were opened to the replicas that are listed.
func (t *Table) Dialed() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.dialed
	for _, r := range t.replicas {
		n += r.pool.Dialed()
	}
	return n
}

// Known reports whether a list was ever read.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

func (t *Table) set(row platform.Replica) {
	now := t.opts.Clock.Now()
	r := t.replicas[row.ID]
	if r != nil && r.row.Addr == row.Addr && r.row.Service == row.Service {
		r.mu.Lock()
		defer r.mu.Unlock()
		if row.State != r.row.State {
			events.ReplicaDraining.Log(t.opts.Log, "replica", row.ID, "service", row.Service, "state", row.State)
		}
		if row.State != r.row.State || !r.lapsed.IsZero() {
			r.usable = row.State != platform.StateLeaving
		}
		r.row, r.lapsed = row, time.Time{}
		return
	}
	r = &Replica{
		clock: t.opts.Clock, service: t.service(row.Service), near: row.Zone == t.opts.Zone, row: row, usable: row.State != platform.StateLeaving,
		running: map[uint64]time.Time{}, slowness: 1, seen: now,
		pool: exchange.New(exchange.Options{Clock: t.opts.Clock, Addr: row.Addr, Codec: t.opts.Codec, Dial: t.opts.Dial}),
	}
	if t.listed {
		r.coldEnd = now.Add(coldFor)
	}
	t.replicas[row.ID] = r
	events.ReplicaSeen.Log(t.opts.Log, "replica", row.ID, "service", row.Service, "addr", row.Addr.String(), "state", row.State)
}

// remove takes a replica out. One that vanished while the store was away may live: the store forgets those that could not write to it.
func (t *Table) remove(id string, returned bool) {
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := t.opts.Clock.Now()
	if returned && r.usable {
		if r.lapsed.IsZero() {
			r.lapsed = now.Add(lapseFor)
			t.opts.Clock.AfterFunc(lapseFor, func() { t.expire(id) })
		}
		return
	}
	t.forget(r)
}

// forget drops a replica whose lock is held.
func (t *Table) forget(r *Replica) {
	r.usable = false
	delete(t.replicas, r.row.ID)
	t.dialed += r.pool.Dialed()
	events.ReplicaGone.Log(t.opts.Log, "replica", r.row.ID, "service", r.row.Service)
	r.pool.Close()
}

func (t *Table) expire(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.mu.Lock()
	gone := !r.lapsed.IsZero() && !t.opts.Clock.Now().Before(r.lapsed)
	if gone {
		t.forget(r)
	}
	r.mu.Unlock()
	if gone {
		t.publish()
	}
}

// publish gives each service the list of its replicas.
func (t *Table) publish() {
	lists := map[string][]*Replica{}
	for _, r := range t.replicas {
		lists[r.row.Service] = append(lists[r.row.Service], r)
	}
	for name := range lists {
		t.service(name)
	}
	for name, s := range t.services {
		list := lists[name]
		s.list.Store(&list)
		s.Wake(t.opts.Clock.Now())
	}
}
