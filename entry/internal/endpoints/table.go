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
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/retrybudget"
)

const (
	// removalGrace is how long replicas that vanished during an outage of the store are used after its return: live
	// ones are listed again within about two seconds.
	removalGrace = 2500 * time.Millisecond
	// sharedConnsRatio is the part of a replica's connections that the hosts share; the rest is for hosts that join,
	// and for connections that the replica still counts while they close.
	sharedConnsRatio = 0.8
	// minConns is the minimum per host: one connection for a request and one for a second attempt.
	minConns = 2
	// defaultConns is the limit of a service without a configured one.
	defaultConns = 8
)

// Options configures a Table.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Zone is the host's own availability zone.
	Zone string
	// Regions holds the region of each availability zone; a zone without one is no request's home.
	Regions map[string]string
	Codec   *opaque.Codec
	Spend   retrybudget.Options
	// Share returns this host's part, 0 to 1, of a limit that holds for all hosts together.
	Share func() float64
	// Hosts returns the id of this host and the serving hosts, among which the replicas are divided; nil means that
	// this host uses all of them.
	Hosts func() (self string, serving []member.Host)
	// Evacuated reports whether the replicas of an availability zone may get no requests; nil means that no zone is
	// evacuated.
	Evacuated func(zone string) bool
	// ColdShare returns the number of requests that this host may send in any second to a cold replica whose limit is
	// perSecond for all hosts; nil means the whole limit.
	ColdShare func(replica string, perSecond float64) int
	// Memory limits the memory of the replies; nil means no limit.
	Memory *memory.Budget
	// Dial opens a connection to a replica; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Opened wraps a new connection to a replica; near is whether the replica is in the host's own zone. Nil means no
	// wrapper.
	Opened func(c net.Conn, near bool) net.Conn
}

// Table holds the replicas of all services.
type Table struct {
	opts Options

	mu       sync.Mutex
	services map[string]*Service
	replicas map[string]*Replica
	// members holds the replicas of each service by id, and changedServices the services whose replicas have changed
	// since the last publish.
	members         map[string]map[string]*Replica
	changedServices map[string]bool
	limits          map[string]route.Service
	listed          bool
	balanced        bool
	// removed holds the last rows of removed replicas.
	removed removedRows
	// heldRows holds rows that are older than the one in use but may be of a newer process.
	heldRows map[string]platform.Replica
	// dialed is the number of connections opened to removed replicas.
	dialed uint64
}

// New returns a table without replicas.
func New(opts Options) *Table {
	if opts.Opened == nil {
		opts.Opened = func(c net.Conn, _ bool) net.Conn { return c }
	}
	if opts.ColdShare == nil {
		opts.ColdShare = func(_ string, perSecond float64) int { return int(perSecond) }
	}
	if opts.Evacuated == nil {
		opts.Evacuated = func(string) bool { return false }
	}
	return &Table{opts: opts, services: map[string]*Service{}, replicas: map[string]*Replica{}, members: map[string]map[string]*Replica{}, changedServices: map[string]bool{}, removed: removedRows{rows: map[string]removedRow{}}, heldRows: map[string]platform.Replica{}}
}

// Service returns the named service, which may have no replicas.
func (t *Table) Service(name string) *Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(name)
}

func (t *Table) service(name string) *Service {
	s := t.services[name]
	if s == nil {
		s = &Service{Name: name, Budget: retrybudget.New(t.opts.Spend), share: t.opts.Share, hosts: t.opts.Hosts}
		s.list.Store(&[]*Replica{})
		s.zones.Store(&servingZones{})
		s.conns.Store(int64(t.maxConnections(name)))
		s.cold.Store(newColdLimits(t.limits[name]))
		s.balanced.Store(t.balanced)
		t.services[name] = s
	}
	return s
}

func (t *Table) maxConnections(name string) int {
	limit, ok := t.limits[name]
	if !ok || limit.MaxConns <= 0 {
		return defaultConns
	}
	return max(minConns, int(sharedConnsRatio*float64(limit.MaxConns)*t.opts.Share()))
}

// SetLimits applies the configured limits of all services; it is called again when the number of hosts changes.
func (t *Table) SetLimits(limits map[string]route.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
	for name, s := range t.services {
		s.conns.Store(int64(t.maxConnections(name)))
		s.cold.Store(newColdLimits(limits[name]))
	}
}

// Replace applies a list of all replicas; afterOutage is whether it is the first list after an outage of the store.
func (t *Table) Replace(batch feed.Batch[platform.Replica], afterOutage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		present[e.Name] = true
		t.applyEntry(e, afterOutage)
	}
	for id := range t.replicas {
		if !present[id] {
			t.remove(id, afterOutage)
		}
	}
	t.listed = true
	t.publish()
}

// Change applies changed replicas; afterOutage is as for Replace.
func (t *Table) Change(batch feed.Batch[platform.Replica], afterOutage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range batch.Entries {
		t.applyEntry(e, afterOutage)
	}
	t.publish()
}

// Refresh recomputes which replicas may be used; it is called when the evacuated zones have changed.
func (t *Table) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	for _, r := range t.replicas {
		r.updateEvacuated(now)
		t.changedServices[r.row.Service] = true
	}
	t.publish()
}

// applyEntry applies one entry. An unreadable one removes its replica at once, even after an outage of the store.
func (t *Table) applyEntry(e feed.Entry[platform.Replica], afterOutage bool) {
	switch {
	case e.Unreadable:
		t.remove(e.Name, false)
	case e.Deleted:
		t.remove(e.Name, afterOutage)
	default:
		t.applyRow(e.Value)
	}
}

// Dialed returns the number of connections opened to replicas, listed and removed.
func (t *Table) Dialed() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.dialed
	for _, r := range t.replicas {
		n += r.pool.Dialed()
	}
	return n
}

// Known reports whether a list of replicas was read.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

// remove removes a replica. One that vanished during an outage of the store may be live: the store drops replicas that
// could not write to it.
func (t *Table) remove(id string, afterOutage bool) {
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := t.opts.Clock.Now()
	if afterOutage && r.usable {
		if r.removeAt.IsZero() {
			r.removeAt = now.Add(removalGrace)
			t.opts.Clock.AfterFunc(removalGrace, func() { t.removeExpired(id) })
		}
		return
	}
	t.deleteReplica(r)
}

// deleteReplica removes a replica whose lock is held, and keeps its last row.
func (t *Table) deleteReplica(r *Replica) {
	t.detach(r)
	t.removed.add(r.row, t.opts.Clock.Now())
	events.ReplicaGone.Log(t.opts.Log, "replica", r.row.ID, "service", r.row.Service)
	r.pool.Close()
}

// detach takes a replica whose lock is held out of use.
func (t *Table) detach(r *Replica) {
	r.usable = false
	delete(t.replicas, r.row.ID)
	delete(t.members[r.row.Service], r.row.ID)
	t.changedServices[r.row.Service] = true
	t.dialed += r.pool.Dialed()
}

func (t *Table) removeExpired(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.mu.Lock()
	gone := !r.removeAt.IsZero() && !t.opts.Clock.Now().Before(r.removeAt)
	if gone {
		t.deleteReplica(r)
	}
	r.mu.Unlock()
	if gone {
		t.publish()
	}
}

// publish updates the list of each service whose replicas have changed, and only of those: replicas of a fleet change
// many times a second.
func (t *Table) publish() {
	for name := range t.changedServices {
		t.service(name).publish(t.opts.Clock.Now(), t.members[name], t.serves)
		if len(t.members[name]) == 0 {
			delete(t.members, name)
		}
	}
	clear(t.changedServices)
}

// serves reports whether a replica takes new requests: it is not leaving, and its zone is not evacuated.
func (t *Table) serves(r *Replica) bool {
	return r.row.State != platform.StateLeaving && !t.opts.Evacuated(r.row.Zone)
}
