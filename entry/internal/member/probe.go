package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Message is the membership part of every message between hosts.
type Message struct {
	// From and Epoch identify the sender, To the intended receiver's incarnation; To is empty towards a seed.
	From  string
	Epoch uint64
	To    string
	Rows  []Host
	Loads []Load
}

// Load is a load report in as few bytes as possible; Key is Host.Key and Percent is 0 to 100.
type Load struct {
	Key     uint64
	Seq     uint64
	Percent uint8
}

// NextProbe returns the neighbour to probe now, in round-robin order.
func (l *List) NextProbe() (Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.neighbourIDs {
		l.lastProbed = (l.lastProbed + 1) % len(l.neighbourIDs)
		if r := l.rows[l.neighbourIDs[l.lastProbed]]; r != nil && r.State != StateDead {
			return r.Host, true
		}
	}
	return Host{}, false
}

// Neighbours returns the hosts that this one probes.
func (l *List) Neighbours() []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Host
	for _, id := range l.neighbourIDs {
		if r := l.rows[id]; r != nil && r.State != StateDead {
			list = append(list, r.Host)
		}
	}
	return list
}

// IndirectProbers returns up to n random alive hosts other than target, to probe it indirectly.
func (l *List) IndirectProbers(target Host, n int) []Host {
	hosts := l.Hosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Host
	// A bounded number of draws is enough: one prober less only makes the check less reliable.
	for range 4 * n {
		h := hosts[l.opts.Rand.IntN(len(hosts))]
		if len(list) == n {
			break
		}
		known := slices.ContainsFunc(list, func(o Host) bool { return o.ID == h.ID })
		if h.State == StateAlive && h.ID != target.ID && h.ID != l.self.ID && !known {
			list = append(list, h)
		}
	}
	return list
}

// LostHost returns a random host that died without announcing its stop, to be contacted again: it may have been cut
// off.
func (l *List) LostHost() (Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Host
	for _, r := range l.rows {
		if r.State == StateDead && !r.left {
			list = append(list, r.Host)
		}
	}
	if len(list) == 0 {
		return Host{}, false
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return list[l.opts.Rand.IntN(len(list))], true
}

// Message returns a message to the host with ID to, with the queued rows that were sent least often.
func (l *List) Message(to string) Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	msg := Message{From: l.self.ID, Epoch: l.self.Epoch, To: to}
	msg.Rows = l.takeRows(to)
	if r := l.rows[to]; r != nil && (r.State == StateSuspect || r.State == StateDead) {
		// The receiver gets its own row in the probe that reaches it, and refutes it in the reply.
		msg.Rows = append(msg.Rows, r.Host)
	}
	msg.Loads = l.takeLoads()
	return msg
}

// SuspicionOf returns the row of msg's sender if it is suspect or dead in this list, so that the sender can refute it.
//
// A host that was paused until its death had spread through the fleet would otherwise never receive that row, since
// dead hosts aren't probed.
func (l *List) SuspicionOf(msg Message) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rows[msg.From]
	if r == nil || r.Epoch < msg.Epoch || r.State == StateAlive || r.State == StateLeaving {
		return nil
	}
	return []Host{r.Host}
}

// Receive applies a message, whether a request or a reply, and returns the rows that changed the list.
func (l *List) Receive(now time.Time, msg Message) []Host {
	fresh := l.Merge(now, msg.Rows)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range msg.Loads {
		l.mergeLoad(m)
	}
	return fresh
}

// MarkUnreachable records that target answered neither the direct probe sent at sent nor the indirect ones. It returns
// the row and true if target became suspect or dead by that.
func (l *List) MarkUnreachable(now time.Time, target Host, sent time.Time) (Host, bool) {
	l.mu.Lock()
	r := l.rows[target.ID]
	if r == nil || r.Epoch != target.Epoch || sent.Before(l.resumed) || now.Sub(l.lastTick) > pauseThreshold {
		l.mu.Unlock()
		return Host{}, false
	}
	h := r.Host
	was := h.State
	switch r.State {
	case StateAlive:
		h.State = StateSuspect
		l.put(h, now)
	case StateLeaving:
		// The host announced its stop, so there is no refutation to wait for.
		h.State = StateDead
		l.put(h, now)
	}
	changes := l.takeChanges()
	if l.stale {
		l.rebuild()
	}
	l.mu.Unlock()
	l.notifyChanged(changes)
	return h, h.State != was
}

// MarkReplaced records that another incarnation answered at target's address, which proves that target has ended.
func (l *List) MarkReplaced(now time.Time, target Host) {
	l.mu.Lock()
	if r := l.rows[target.ID]; r != nil {
		if r.State != StateDead {
			h := r.Host
			h.State = StateDead
			l.put(h, now)
		}
		r.left = true
	}
	changes := l.takeChanges()
	if l.stale {
		l.rebuild()
	}
	l.mu.Unlock()
	l.notifyChanged(changes)
}

// maxRowSends returns the number of times that a changed row is sent: at two messages a second it reaches all hosts
// before that (docs/design/membership.md), and anti-entropy delivers it to hosts that missed it.
func (l *List) maxRowSends() int { return bits.Len(uint(len(l.rows)+1)) + 2 }

// takeRows returns the queued rows that were sent least often; ties are broken by ID so that a seeded run repeats.
func (l *List) takeRows(to string) []Host {
	ids := make([]string, 0, len(l.queuedRows))
	for id := range l.queuedRows {
		if id != to || id == l.self.ID {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.queuedRows[a], l.queuedRows[b]), cmp.Compare(a, b))
	})
	var rows []Host
	for _, id := range ids[:min(maxRowsPerMessage, len(ids))] {
		rows = append(rows, l.rowOf(id))
		l.queuedRows[id]++
		if l.queuedRows[id] >= l.maxRowSends() {
			delete(l.queuedRows, id)
		}
	}
	return rows
}

func (l *List) rowOf(id string) Host {
	if id == l.self.ID {
		return l.self
	}
	return l.rows[id].Host
}
