package listing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/digest"
)

// manualClock is a clock that all hosts of a model share and the model advances, with a skew for each host.
type manualClock struct {
	clock.Clock
	now  *time.Time
	skew time.Duration
}

// Now returns the model's time plus the skew of this host.
func (c manualClock) Now() time.Time { return c.now.Add(c.skew) }

// model simulates a platform with lagging copies of the list, and hosts of which the first three read it.
type model struct {
	rnd      *rand.Rand
	now      time.Time
	history  [][]platform.Replica
	tables   []*Table
	clocks   []manualClock
	inFlight []*pendingRead
}

// pendingRead is a read of the list in flight.
type pendingRead struct {
	list          []platform.Replica
	started       time.Time
	changesBefore uint64
}

// watchers is the number of hosts that read the list from the platform.
const watchers = 3

func newModel(seed uint64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0), history: [][]platform.Replica{nil}}
	for range 6 {
		c := manualClock{now: &m.now, skew: time.Duration(m.rnd.IntN(600)-300) * time.Second}
		m.clocks = append(m.clocks, c)
		m.tables = append(m.tables, New(c))
		m.inFlight = append(m.inFlight, nil)
	}
	return m
}

// current returns the current list.
func (m *model) current() []platform.Replica { return m.history[len(m.history)-1] }

// change adds a replica, removes it or changes its state. There are only five IDs, so that removed replicas come back.
func (m *model) change() {
	list := slices.Clone(m.current())
	id := fmt.Sprint("r-", m.rnd.IntN(5))
	i := slices.IndexFunc(list, func(r platform.Replica) bool { return r.ID == id })
	switch {
	case i < 0:
		list = append(list, platform.Replica{ID: id, Service: "s", Zone: "z", State: "live"})
	case m.rnd.IntN(2) == 0:
		list = slices.Delete(list, i, i+1)
	default:
		list[i].State = platform.ReplicaState([]string{"live", "draining"}[m.rnd.IntN(2)])
	}
	m.history = append(m.history, list)
}

// beginRead starts a read at watcher w that returns the list as it was lag changes ago.
func (m *model) beginRead(w, lag int) {
	at := max(0, len(m.history)-1-lag)
	m.inFlight[w] = &pendingRead{list: m.history[at], started: m.clocks[w].Now(), changesBefore: m.tables[w].Changes()}
}

// endRead applies the read in flight at watcher w.
func (m *model) endRead(w int) {
	if r := m.inFlight[w]; r != nil {
		m.tables[w].ApplyRead(r.started, r.changesBefore, r.list)
	}
	m.inFlight[w] = nil
}

// exchange merges all rows of two hosts into each other.
func (m *model) exchange(a, b int) {
	rows := m.tables[a].Rows(digest.Prefix{}, MaxRows)
	m.tables[a].Merge(m.tables[b].Rows(digest.Prefix{}, MaxRows))
	m.tables[b].Merge(rows)
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.rnd.IntN(1500)) * time.Millisecond)
	if m.rnd.IntN(200) == 0 {
		// All hosts are paused, or the platform is down, for longer than tombstones are kept.
		m.now = m.now.Add(2 * time.Hour)
	}
	switch w := m.rnd.IntN(watchers); m.rnd.IntN(6) {
	case 0:
		m.change()
	case 1:
		m.beginRead(w, m.rnd.IntN(4))
	case 2:
		m.endRead(w)
	case 3:
		a, b := m.rnd.IntN(len(m.tables)), m.rnd.IntN(len(m.tables))
		m.exchange(a, b)
	case 4:
		m.tables[m.rnd.IntN(len(m.tables))].Total()
	case 5:
		// A host restarts with an empty table; its first rows come from a read or from another host.
		if i := m.rnd.IntN(len(m.tables)); m.rnd.IntN(10) == 0 {
			m.tables[i] = New(m.clocks[i])
			m.inFlight[i] = nil
		}
	}
}

// Guards against an old state of a replica that wins for good, so that a removed replica gets requests or a restored
// one gets none. Watchers read lagging copies of the list, are paused during a read for longer than tombstones are
// kept, and are cut off from other hosts; clocks differ by minutes. Once reads are current again, all hosts must have
// the list of the newest read and the same digest.
func TestHostsConvergeOnNewestList(t *testing.T) {
	for seed := range uint64(1000) {
		m := newModel(seed)
		for range 300 {
			m.step()
		}
		// Apply the reads that are still in flight.
		for w := range watchers {
			m.endRead(w)
		}
		// Only one watcher continues to read, and its clock may be behind those of the other hosts.
		last := int(seed) % watchers
		for range 4 {
			m.now = m.now.Add(time.Second)
			for a := range m.tables {
				for b := range a {
					m.exchange(a, b)
				}
			}
			m.beginRead(last, 0)
			m.endRead(last)
		}
		for i := range m.tables {
			m.exchange(last, i)
		}
		for i, table := range m.tables {
			list, _ := table.List()
			want := slices.Clone(m.current())
			slices.SortFunc(want, func(a, b platform.Replica) int { return cmp.Compare(a.ID, b.ID) })
			qt.Assert(t, slices.Equal(list, want), qt.IsTrue, qt.Commentf("seed %d host %d: %v, want %v", seed, i, list, want))
			qt.Assert(t, table.Total(), qt.Equals, digest.Total(table.Entries()), qt.Commentf("seed %d", seed))
		}
	}
}

// Guards against a slow read that adds a removed replica again, so that all hosts send requests to an address that no
// longer exists. A watcher is paused during a read; meanwhile another watcher finds the replica removed and sends the
// row.
func TestStaleReadDoesNotRestoreReplica(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	paused, other := New(manualClock{now: &now}), New(manualClock{now: &now})
	list := []platform.Replica{{ID: "r-1", Service: "s", State: "live"}, {ID: "r-2", Service: "s", State: "live"}}
	for _, table := range []*Table{paused, other} {
		c.Assert(table.ApplyRead(now, 0, list), qt.HasLen, 0)
	}
	started, begun := now.Add(time.Minute), paused.Changes()
	removed := other.ApplyRead(now.Add(time.Second), other.Changes(), list[:1])
	c.Assert(removed, qt.HasLen, 1)
	now = started
	c.Assert(paused.Merge(removed), qt.HasLen, 1)
	c.Assert(paused.ApplyRead(started, begun, list), qt.HasLen, 0)
	// The next read began after the removal and must restore the replica.
	c.Assert(paused.ApplyRead(started, paused.Changes(), list), qt.HasLen, 1)
	after, ok := paused.List()
	c.Assert(ok, qt.IsTrue)
	c.Assert(after, qt.HasLen, 2)
}

// Guards against new stamps for unchanged rows in the first read of a host that has already received some rows of
// another. When eight hosts started at once with 6,000 replicas, they exchanged thousands of such rows for a minute.
func TestFirstReadKeepsStamps(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	early, late := New(manualClock{now: &now}), New(manualClock{now: &now})
	list := []platform.Replica{{ID: "r-1", Service: "s", State: "live"}, {ID: "r-2", Service: "s", State: "live"}}
	early.ApplyRead(now, 0, list)
	begun := late.Changes()
	late.Merge(early.Rows(digest.Prefix{}, 1))
	c.Assert(late.ApplyRead(now, begun, list), qt.HasLen, 0)
	c.Assert(late.Total(), qt.Equals, early.Total())
	// A row that the list contradicts is a change, also in the first read.
	third := New(manualClock{now: &now})
	third.Merge(early.Rows(digest.Prefix{}, MaxRows))
	c.Assert(third.ApplyRead(now, third.Changes(), list[:1]), qt.HasLen, 1)
}
