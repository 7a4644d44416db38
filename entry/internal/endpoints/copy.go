package endpoints

import (
	"maps"
	"slices"

	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/retrybudget"
)

// CopyOptions holds the values by which the copy of a service decides. They take the place of functions of the table,
// which may record or cache what they return.
type CopyOptions struct {
	// Share is this host's share of the limits that all hosts keep together.
	Share float64
	// Self is the ID of this host, Serving are the serving hosts.
	Self    string
	Serving []member.Host
	// ColdShare is as in Options.
	ColdShare func(replica string, perSecond float64) int
}

// Copy returns a copy of the named service and its replicas for Explain, by the same code as that of requests: nothing
// that the copy records or learns changes the table. No request may be sent to its replicas, which share the
// connections of the originals. Unlike Service, it creates no service in the table.
func (t *Table) Copy(name string, o CopyOptions) *Service {
	t.mu.Lock()
	s, balanced := t.services[name], t.balanced
	t.mu.Unlock()
	share := func() float64 { return o.Share }
	if s == nil {
		s = &Service{Name: name, Budget: retrybudget.New(t.opts.Spend), share: share}
		s.list.Store(&[]*Replica{})
		s.zones.Store(&servingZones{})
		s.cold.Store(&coldLimits{})
		s.balanced.Store(balanced)
		return s
	}
	c := &Service{Name: s.Name, Budget: s.Budget.Copy(), share: share}
	s.copyQueue(&c.queue)
	s.load.copyTo(&c.load)
	s.queueDelay.CopyTo(&c.queueDelay)
	s.shortestWait.copyTo(&c.shortestWait)
	c.balanced.Store(s.balanced.Load())
	s.turns.CopyTo(&c.turns)
	c.zones.Store(s.zones.Load())
	c.cold.Store(s.cold.Load())
	c.conns.Store(s.conns.Load())
	c.slots.Store(s.slots.Load())
	if s.hosts != nil {
		c.hosts = func() (string, []member.Host) { return o.Self, o.Serving }
	}
	originals := s.Replicas()
	list := make([]*Replica, len(originals))
	for i, r := range originals {
		list[i] = r.copy(c, o)
	}
	c.list.Store(&list)
	return c
}

// copy returns a copy of the replica for the copy s of its service.
func (r *Replica) copy(s *Service, o CopyOptions) *Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Replica{
		clock: r.clock, near: r.near, region: r.region, service: s, pool: r.pool, evacuated: r.evacuated, coldShare: o.ColdShare,
		row: r.row, usable: r.usable, removeAt: r.removeAt, coldUntil: r.coldUntil, wasEvacuated: r.wasEvacuated, coldSent: slices.Clone(r.coldSent),
		running: maps.Clone(r.running), lastRequest: r.lastRequest, turn: r.turn, slowness: r.slowness, failures: r.failures, estimatedAt: r.estimatedAt,
		reported: r.reported, lastOutlier: r.lastOutlier, lastRatio: r.lastRatio, backoffUntil: r.backoffUntil, backoffCount: r.backoffCount,
	}
}

func (q *queue) copyQueue(to *queue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	to.waiting = slices.Clone(q.waiting)
}

func (l *load) copyTo(to *load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to.running, to.meanTook, to.average, to.at = l.running, l.meanTook, l.average, l.at
}

func (s *shortestWait) copyTo(to *shortestWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to.value, to.recorded = s.value, s.recorded
}
