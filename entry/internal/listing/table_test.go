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

// handClock stands still between the steps of a model, and may be wrong.
type handClock struct {
	clock.Clock
	now  *time.Time
	skew time.Duration
}

// Now returns the model's time as this host has it.
func (c handClock) Now() time.Time { return c.now.Add(c.skew) }

// model is a platform with lagging copies, and hosts of which the first three read it.
type model struct {
	rnd    *rand.Rand
	now    time.Time
	past   [][]platform.Replica
	tables []*Table
	clocks []handClock
	flight []*reading
}

type reading struct {
	list    []platform.Replica
	started time.Time
	begun   uint64
}

const watchers = 3

func newModel(seed uint64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0), past: [][]platform.Replica{nil}}
	for range 6 {
		c := handClock{now: &m.now, skew: time.Duration(m.rnd.IntN(600)-300) * time.Second}
		m.clocks = append(m.clocks, c)
		m.tables = append(m.tables, New(c))
		m.flight = append(m.flight, nil)
	}
	return m
}

func (m *model) truth() []platform.Replica { return m.past[len(m.past)-1] }

// change adds a replica, removes it or changes its state; few IDs make them come back.
func (m *model) change() {
	list := slices.Clone(m.truth())
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
	m.past = append(m.past, list)
}

func (m *model) begin(w, lag int) {
	at := max(0, len(m.past)-1-lag)
	m.flight[w] = &reading{list: m.past[at], started: m.clocks[w].Now(), begun: m.tables[w].Changes()}
}

func (m *model) end(w int) {
	if r := m.flight[w]; r != nil {
		m.tables[w].Read(r.started, r.begun, r.list)
	}
	m.flight[w] = nil
}

// exchange gives each of two hosts all rows of the other.
func (m *model) exchange(a, b int) {
	rows := m.tables[a].Rows(digest.Prefix{}, MaxRows)
	m.tables[a].Merge(m.tables[b].Rows(digest.Prefix{}, MaxRows))
	m.tables[b].Merge(rows)
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.rnd.IntN(1500)) * time.Millisecond)
	if m.rnd.IntN(200) == 0 {
		// Everything was paused, or the platform was down, for longer than removals are remembered.
		m.now = m.now.Add(2 * time.Hour)
	}
	switch w := m.rnd.IntN(watchers); m.rnd.IntN(6) {
	case 0:
		m.change()
	case 1:
		m.begin(w, m.rnd.IntN(4))
	case 2:
		m.end(w)
	case 3:
		a, b := m.rnd.IntN(len(m.tables)), m.rnd.IntN(len(m.tables))
		m.exchange(a, b)
	case 4:
		m.tables[m.rnd.IntN(len(m.tables))].Total()
	case 5:
		// A host that starts again has nothing, and may read first or hear the others first.
		if i := m.rnd.IntN(len(m.tables)); m.rnd.IntN(10) == 0 {
			m.tables[i] = New(m.clocks[i])
			m.flight[i] = nil
		}
	}
}

// Story: watchers read copies of the list that lag, are paused in the middle of a reading for longer than removals are
// remembered, and are cut off from the others; the hosts' clocks differ by minutes. A replica that was removed long ago
// gets calls, or one that came back gets none, if an older state wins for good. Once readings are current again, each
// host must end with what the newest reading says, and all with the same sums.
func TestNoHostEndsWithAnOlderList(t *testing.T) {
	for seed := range uint64(1000) {
		m := newModel(seed)
		for range 300 {
			m.step()
		}
		// Readings that were on their way all the time end now, the oldest last.
		for w := range watchers {
			m.end(w)
		}
		// One watcher is left, and its clock may be behind those of the others.
		last := int(seed) % watchers
		for range 4 {
			m.now = m.now.Add(time.Second)
			for a := range m.tables {
				for b := range a {
					m.exchange(a, b)
				}
			}
			m.begin(last, 0)
			m.end(last)
		}
		for i := range m.tables {
			m.exchange(last, i)
		}
		for i, table := range m.tables {
			list, _ := table.List()
			want := slices.Clone(m.truth())
			slices.SortFunc(want, func(a, b platform.Replica) int { return cmp.Compare(a.ID, b.ID) })
			qt.Assert(t, slices.Equal(list, want), qt.IsTrue, qt.Commentf("seed %d host %d: %v, want %v", seed, i, list, want))
			qt.Assert(t, table.Total(), qt.Equals, digest.Total(table.Entries()), qt.Commentf("seed %d", seed))
		}
	}
}

// Story: a watcher is paused while its reading is on the way. Meanwhile another watcher sees a replica removed and
// tells it. The old reading then ends; if it put the replica back, every host would send calls to an address that is
// gone.
func TestReadingThatWasOvertakenChangesNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	paused, other := New(handClock{now: &now}), New(handClock{now: &now})
	list := []platform.Replica{{ID: "r-1", Service: "s", State: "live"}, {ID: "r-2", Service: "s", State: "live"}}
	for _, table := range []*Table{paused, other} {
		c.Assert(table.Read(now, 0, list), qt.HasLen, 0)
	}
	started, begun := now.Add(time.Minute), paused.Changes()
	told := other.Read(now.Add(time.Second), other.Changes(), list[:1])
	c.Assert(told, qt.HasLen, 1)
	now = started
	c.Assert(paused.Merge(told), qt.HasLen, 1)
	c.Assert(paused.Read(started, begun, list), qt.HasLen, 0)
	// The next reading may bring it back, and must.
	c.Assert(paused.Read(started, paused.Changes(), list), qt.HasLen, 1)
	after, ok := paused.List()
	c.Assert(ok, qt.IsTrue)
	c.Assert(after, qt.HasLen, 2)
}

// Story: eight hosts start at once with 6,000 replicas, and each has heard some rows of another when its first reading
// ends. Stamped anew, thousands of rows that nobody changed went round between the hosts for a minute.
func TestFirstReadingStampsNothingAnew(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	early, late := New(handClock{now: &now}), New(handClock{now: &now})
	list := []platform.Replica{{ID: "r-1", Service: "s", State: "live"}, {ID: "r-2", Service: "s", State: "live"}}
	early.Read(now, 0, list)
	begun := late.Changes()
	late.Merge(early.Rows(digest.Prefix{}, 1))
	c.Assert(late.Read(now, begun, list), qt.HasLen, 0)
	c.Assert(late.Total(), qt.Equals, early.Total())
	// What it contradicts is a change, also in a first reading.
	heard := New(handClock{now: &now})
	heard.Merge(early.Rows(digest.Prefix{}, MaxRows))
	c.Assert(heard.Read(now, heard.Changes(), list[:1]), qt.HasLen, 1)
}
