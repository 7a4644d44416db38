package endpoints

import (
	"net"
	"time"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/exchange"
)

const (
	// heldRowDelay is the time for which a row of an earlier start is held back: a live replica writes every 1.2 s, and
	// if a third write still brings no newer row, no later process exists.
	heldRowDelay = 3600 * time.Millisecond
	// maxClockAhead bounds how far the clock of a replica's host may be ahead of this host's. Clocks jump by seconds;
	// accepting a start further ahead would make every correct row look old.
	maxClockAhead = time.Minute
)

// applyRow applies a row, unless it is older than the known one.
func (t *Table) applyRow(row platform.Replica) {
	now := t.opts.Clock.Now()
	if row.Started.Sub(now) > maxClockAhead {
		events.ReplicaRowOld.Log(t.opts.Log, "replica", row.ID, "started", row.Started, "reason", "the start time is in the future")
		t.remove(row.ID, false)
		return
	}
	if old, ok := t.lastRow(row.ID, now); ok && row.OlderThan(old) {
		t.holdBack(row, old)
		return
	}
	delete(t.heldRows, row.ID)
	t.put(row, now)
}

// lastRow returns the newest known row of a replica, listed or removed.
func (t *Table) lastRow(id string, now time.Time) (platform.Replica, bool) {
	if r := t.replicas[id]; r != nil {
		return r.row, true
	}
	return t.removed.row(id, now)
}

// holdBack holds back a row that is older than the known one.
//
// A row of the same process is always stale. A row of another process is either a late write of an ended process, or
// the clock of the replica's host was set back between two starts. In the second case the replica is live and keeps
// writing the row, so the row is accepted once nothing newer has come for some heartbeats.
func (t *Table) holdBack(row, old platform.Replica) {
	events.ReplicaRowOld.Log(t.opts.Log, "replica", row.ID, "started", row.Started, "sequence", row.Sequence, "known_started", old.Started, "known_sequence", old.Sequence)
	if row.Started.Equal(old.Started) {
		return
	}
	t.heldRows[row.ID] = row
	t.opts.Clock.AfterFunc(heldRowDelay, func() { t.applyHeld(row, old) })
}

// applyHeld applies a row that was held back, unless another one has come since.
func (t *Table) applyHeld(row, old platform.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	if known, ok := t.lastRow(row.ID, now); t.heldRows[row.ID] != row || ok && known != old {
		return
	}
	delete(t.heldRows, row.ID)
	t.put(row, now)
	t.publish()
}

// put stores a row of a known or a new replica.
func (t *Table) put(row platform.Replica, now time.Time) {
	r := t.replicas[row.ID]
	if r != nil && r.row.SameProcess(row) {
		t.update(r, row)
		return
	}
	if r != nil {
		t.endProcess(r, row)
	}
	t.add(row, now)
}

func (t *Table) update(r *Replica, row platform.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if row.State != r.row.State {
		events.ReplicaDraining.Log(t.opts.Log, "replica", row.ID, "service", row.Service, "state", row.State)
	}
	if row.State != r.row.State || row.Slots != r.row.Slots || !r.removeAt.IsZero() {
		t.changedServices[row.Service] = true
	}
	if row.State != r.row.State || !r.removeAt.IsZero() {
		r.usable = row.State != platform.StateLeaving
	}
	r.row, r.removeAt = row, time.Time{}
	r.updateCold(t.opts.Clock.Now())
}

// endProcess removes a process whose replica has started again, and fails its requests in flight at once: if the host
// of the old process lost power, its connections would stay silent until the deadline.
func (t *Table) endProcess(r *Replica, row platform.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.detach(r)
	events.ReplicaRestarted.Log(t.opts.Log, "replica", row.ID, "service", row.Service, "addr", row.Addr.String(), "started", row.Started, "running", len(r.running))
	r.pool.Abort()
}

func (t *Table) add(row platform.Replica, now time.Time) {
	near := row.Zone == t.opts.Zone
	r := &Replica{
		clock: t.opts.Clock, service: t.service(row.Service), near: near, region: t.opts.Regions[row.Zone],
		evacuated: t.opts.Evacuated, coldShare: t.opts.ColdShare, row: row, usable: row.State != platform.StateLeaving,
		running: map[uint64]time.Time{}, slowness: 1, estimatedAt: now,
		pool: exchange.New(exchange.Options{
			Clock: t.opts.Clock, Addr: row.Addr, Codec: t.opts.Codec, Dial: t.opts.Dial, Memory: t.opts.Memory,
			Opened: func(c net.Conn) net.Conn { return t.opts.Opened(c, near) },
		}),
	}
	if t.listed {
		r.coldUntil = now.Add(newReplicaColdFor)
	}
	r.updateCold(now)
	r.updateEvacuated(now)
	t.replicas[row.ID] = r
	if t.members[row.Service] == nil {
		t.members[row.Service] = map[string]*Replica{}
	}
	t.members[row.Service][row.ID] = r
	t.changedServices[row.Service] = true
	events.ReplicaSeen.Log(t.opts.Log, "replica", row.ID, "service", row.Service, "addr", row.Addr.String(), "state", row.State)
}
