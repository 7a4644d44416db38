package relay_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/relay"
)

const keepFor = 5 * time.Minute

func replicasCopy() *relay.Copy[platform.Replica] {
	return relay.NewCopy(relay.Options[platform.Replica]{Older: platform.Replica.OlderThan, KeepFor: keepFor})
}

func evacuationsCopy() *relay.Copy[platform.Evacuation] {
	return relay.NewCopy(relay.Options[platform.Evacuation]{KeepAbsent: true, KeepFor: keepFor})
}

// batchOf returns a batch of the given era.
func batchOf[T any](era, revision int64, entries ...feed.Entry[T]) feed.Batch[T] {
	return feed.Batch[T]{Era: era, Revision: revision, Entries: entries}
}

func replicaRow(id string, revision, sequence int64, state platform.ReplicaState) feed.Entry[platform.Replica] {
	return feed.Entry[platform.Replica]{Name: id, Revision: revision, Value: platform.Replica{ID: id, State: state, Sequence: sequence, Started: time.UnixMilli(1).UTC()}}
}

func evacuation(zone string, revision int64) feed.Entry[platform.Evacuation] {
	return feed.Entry[platform.Evacuation]{Name: zone, Revision: revision, Value: platform.Evacuation{Zone: zone}}
}

func deleted[T any](name string, revision int64) feed.Entry[T] {
	return feed.Entry[T]{Name: name, Revision: revision, Deleted: true}
}

// describe returns the sorted descriptions of the entries of a copy.
func describe[T any](c *relay.Copy[T], show func(feed.Entry[T]) string) []string {
	all, _, _ := c.Since(feed.Position{})
	list := []string{}
	for _, e := range all.Entries {
		list = append(list, show(e))
	}
	slices.Sort(list)
	return list
}

func showRow(e feed.Entry[platform.Replica]) string {
	return fmt.Sprintf("%s %s %d", e.Name, e.Value.State, e.Value.Sequence)
}

func showName[T any](e feed.Entry[T]) string { return e.Name }

// Guards against replicas that a restore from a backup brings back: deleted ones, and draining ones as live.
func TestCopyBringsNoReplicaBack(t *testing.T) {
	now := time.Unix(100, 0)
	c := replicasCopy()
	c.ApplyList(batchOf(1, 10, replicaRow("gone", 3, 4, platform.StateLive), replicaRow("drains", 4, 4, platform.StateLive), replicaRow("stays", 5, 4, platform.StateLive), replicaRow("again", 6, 4, platform.StateLive)), now, false)
	c.ApplyChanges(batchOf(1, 14,
		deleted[platform.Replica]("gone", 11), replicaRow("drains", 12, 9, platform.StateLeaving), replicaRow("new", 13, 1, platform.StateLive), deleted[platform.Replica]("again", 14)), now, false)
	list := batchOf(2, 12, replicaRow("gone", 3, 4, platform.StateLive), replicaRow("drains", 4, 4, platform.StateLive), replicaRow("stays", 11, 9, platform.StateLive), replicaRow("again", 12, 5, platform.StateLive))
	for range 2 {
		qt.Assert(t, c.ApplyList(list, now, false), qt.IsTrue)
		// The new replica is missing until it writes again, and the deleted one that has written again is present.
		qt.Check(t, describe(c, showRow), qt.DeepEquals, []string{"again live 5", "drains leaving 9", "stays live 9"})
	}
	c.ApplyChanges(batchOf(2, 15, replicaRow("new", 13, 2, platform.StateLive), deleted[platform.Replica]("gone", 14), replicaRow("drains", 15, 10, platform.StateLeaving)), now, false)
	qt.Check(t, describe(c, showRow), qt.DeepEquals, []string{"again live 5", "drains leaving 10", "new live 2", "stays live 9"})
	kept, _ := c.Retained()
	qt.Check(t, kept, qt.HasLen, 0)
	c.ApplyChanges(batchOf(2, 17, deleted[platform.Replica]("drains", 16), replicaRow("gone", 17, 20, platform.StateLive)), now, false)
	qt.Check(t, describe(c, showRow), qt.DeepEquals, []string{"again live 5", "gone live 20", "new live 2", "stays live 9"})
}

// Guards against a live replica that stays hidden forever. Its row expired in the seconds that the restore lost, the
// backup contains it, and its next write doesn't count as a change in the store.
func TestLivingReplicaIsLeftOutForAWhile(t *testing.T) {
	now := time.Unix(100, 0)
	c := replicasCopy()
	c.ApplyList(batchOf(1, 10, replicaRow("a", 3, 4, platform.StateLive)), now, false)
	c.ApplyChanges(batchOf(1, 11, deleted[platform.Replica]("a", 11)), now, false)
	c.ApplyList(batchOf(2, 10, replicaRow("a", 3, 4, platform.StateLive)), now, false)
	qt.Check(t, describe(c, showRow), qt.DeepEquals, []string{})
	news, _ := c.ApplyChanges(batchOf[platform.Replica](2, 10), now.Add(keepFor), false)
	qt.Check(t, news.Entries, qt.HasLen, 1)
	qt.Check(t, describe(c, showRow), qt.DeepEquals, []string{"a live 4"})
}

// Guards against evacuations and releases of zones that a restore from a backup reverts.
func TestCopyUndoesNoEvacuation(t *testing.T) {
	now := time.Unix(100, 0)
	newCopy := func() *relay.Copy[platform.Evacuation] {
		c := evacuationsCopy()
		c.ApplyList(batchOf(1, 10, evacuation("released", 5)), now, false)
		c.ApplyChanges(batchOf(1, 12, evacuation("ordered", 11), deleted[platform.Evacuation]("released", 12)), now, false)
		c.ApplyList(batchOf(2, 10, evacuation("released", 5)), now, false)
		return c
	}
	for _, tc := range []struct {
		name string
		then func(c *relay.Copy[platform.Evacuation])
		want []string
	}{
		{"no write after the restore", func(*relay.Copy[platform.Evacuation]) {}, []string{"ordered"}},
		{"objects listed again", func(c *relay.Copy[platform.Evacuation]) {
			c.ApplyList(batchOf(2, 11, evacuation("released", 5)), now, false)
		}, []string{"ordered"}},
		{"order and release written again", func(c *relay.Copy[platform.Evacuation]) {
			c.ApplyChanges(batchOf(2, 12, evacuation("ordered", 11), deleted[platform.Evacuation]("released", 12)), now, false)
		}, []string{"ordered"}},
		{"order written again, then released", func(c *relay.Copy[platform.Evacuation]) {
			c.ApplyChanges(batchOf(2, 12, evacuation("ordered", 11), deleted[platform.Evacuation]("ordered", 12)), now, false)
		}, []string{}},
		{"zone evacuated again by a change", func(c *relay.Copy[platform.Evacuation]) {
			c.ApplyChanges(batchOf(2, 12, evacuation("released", 12)), now, false)
		}, []string{"ordered", "released"}},
		{"zone evacuated again in a list", func(c *relay.Copy[platform.Evacuation]) {
			c.ApplyList(batchOf(2, 12, evacuation("released", 12)), now, false)
		}, []string{"ordered", "released"}},
		{"no write until expiry", func(c *relay.Copy[platform.Evacuation]) {
			c.ApplyChanges(batchOf[platform.Evacuation](2, 12), now.Add(keepFor), false)
		}, []string{"released"}},
		{"second restore", func(c *relay.Copy[platform.Evacuation]) {
			c.ApplyList(batchOf(3, 10, evacuation("released", 5)), now, false)
		}, []string{"ordered"}},
		{"reply of the old era", func(c *relay.Copy[platform.Evacuation]) {
			qt.Check(t, c.ApplyList(batchOf(1, 99, evacuation("released", 5)), now, false), qt.IsFalse)
			_, ok := c.ApplyChanges(batchOf(1, 99, deleted[platform.Evacuation]("ordered", 98)), now, false)
			qt.Check(t, ok, qt.IsFalse)
		}, []string{"ordered"}},
	} {
		c := newCopy()
		tc.then(c)
		qt.Check(t, describe(c, showName), qt.DeepEquals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// Guards against a host that starts after a restore and doesn't receive the entries that other hosts retain.
func TestKeptIsPassedOn(t *testing.T) {
	now := time.Unix(100, 0)
	old := evacuationsCopy()
	old.ApplyList(batchOf(1, 10, evacuation("released", 5)), now, false)
	old.ApplyChanges(batchOf(1, 12, evacuation("ordered", 11), deleted[platform.Evacuation]("released", 12)), now, false)
	old.ApplyList(batchOf(2, 10, evacuation("released", 5)), now, false)
	started := evacuationsCopy()
	started.ApplyList(batchOf(2, 10, evacuation("released", 5)), now, false)
	kept, sum := old.Retained()
	news := started.MergeRetained(kept, now)
	qt.Check(t, news.Entries, qt.HasLen, 2)
	qt.Check(t, describe(started, showName), qt.DeepEquals, []string{"ordered"})
	started.ApplyList(batchOf(2, 11, evacuation("released", 5)), now, false)
	qt.Check(t, describe(started, showName), qt.DeepEquals, []string{"ordered"})
	_, same := started.Retained()
	qt.Check(t, same, qt.Equals, sum)
	// A second restore makes no difference.
	started.ApplyList(batchOf(3, 10, evacuation("released", 5)), now, false)
	qt.Check(t, describe(started, showName), qt.DeepEquals, []string{"ordered"})
	started.ApplyList(batchOf(3, 11, evacuation("released", 5)), now, false)
	// Later writes take precedence over entries that a lagging host still retains.
	started.ApplyChanges(batchOf(3, 13, evacuation("ordered", 12), deleted[platform.Evacuation]("ordered", 13)), now, false)
	started.MergeRetained(kept, now)
	qt.Check(t, describe(started, showName), qt.DeepEquals, []string{})
}

// Guards against a host that gets too few changes in a new era because it has seen revisions of the old era that its
// parent never had.
func TestHostAheadOfItsParentGetsAll(t *testing.T) {
	now := time.Unix(100, 0)
	parent := replicasCopy()
	parent.ApplyList(batchOf(1, 10, replicaRow("a", 9, 1, platform.StateLive)), now, false)
	parent.ApplyList(batchOf(2, 8, replicaRow("a", 8, 1, platform.StateLive)), now, false)
	for _, tc := range []struct {
		reached feed.Position
		full    bool
	}{
		{feed.Position{Era: 1, Revision: 10}, false},
		{feed.Position{Era: 1, Revision: 11}, true},
		{feed.Position{Era: 2, Revision: 7}, true},
		{feed.Position{Era: 2, Revision: 8}, false},
		{feed.Position{Revision: 10}, true},
	} {
		_, full, _ := parent.Since(tc.reached)
		qt.Check(t, full, qt.Equals, tc.full, qt.Commentf("at %+v", tc.reached))
	}
}

// eraModel simulates a store that is restored from backups, and three hosts. Two read the store, and all read from each
// other.
type eraModel struct {
	era, revision, version int64
	// store is the content of the store, and truth the latest versions that the operator wrote.
	store map[string]feed.Entry[int64]
	truth map[string]int64
	// backups lists the backups that the store may be restored from.
	backups []storeBackup
	hosts   [3]*relay.Copy[int64]
	newest  [3]map[string]int64
}

type storeBackup struct {
	revision int64
	store    map[string]feed.Entry[int64]
}

func newEraModel() *eraModel {
	m := &eraModel{era: 1, revision: 10, store: map[string]feed.Entry[int64]{}, truth: map[string]int64{}}
	m.backups = []storeBackup{m.backup()}
	for i := range m.hosts {
		m.restart(i)
	}
	return m
}

// restart restarts a host with an empty copy.
func (m *eraModel) restart(i int) {
	opts := relay.Options[int64]{KeepAbsent: true, Older: func(got, held int64) bool { return got < held }}
	m.hosts[i], m.newest[i] = relay.NewCopy(opts), map[string]int64{}
}

func (m *eraModel) now() time.Time { return time.Unix(m.revision, 0) }

func (m *eraModel) backup() storeBackup { return storeBackup{m.revision, maps.Clone(m.store)} }

func (m *eraModel) restore(c storeBackup) {
	m.era, m.revision, m.store = m.era+1, c.revision, maps.Clone(c.store)
	m.backups = []storeBackup{m.backup()}
}

func (m *eraModel) write(name string, version int64) {
	m.revision++
	m.store[name] = feed.Entry[int64]{Name: name, Revision: m.revision, Value: version}
	m.truth[name] = version
}

// writeLost repeats the writes that the store has lost.
func (m *eraModel) writeLost() {
	for _, name := range slices.Sorted(maps.Keys(m.truth)) {
		if m.store[name].Value != m.truth[name] {
			m.write(name, m.truth[name])
		}
	}
}

// listStore updates a host with a list of all objects of the store.
func (m *eraModel) listStore(t *rapid.T, i int) {
	list := batchOf[int64](m.era, m.revision)
	for _, name := range slices.Sorted(maps.Keys(m.store)) {
		list.Entries = append(list.Entries, m.store[name])
	}
	if !m.hosts[i].ApplyList(list, m.now(), false) {
		t.Fatal("a list of the store was refused")
	}
}

// syncHost updates one host from another.
func (m *eraModel) syncHost(to, from int) {
	st, _ := m.hosts[to].State()
	batch, full, _ := m.hosts[from].Since(st.Position)
	if batch.Position().Before(st.Position) || batch.Revision == 0 || to == from {
		return
	}
	if full {
		m.hosts[to].ApplyList(batch, m.now(), false)
	} else {
		m.hosts[to].ApplyChanges(batch, m.now(), false)
	}
	kept, _ := m.hosts[from].Retained()
	m.hosts[to].MergeRetained(kept, m.now())
}

// check fails if a version went back on a host.
func (m *eraModel) check(t *rapid.T) {
	for i, h := range m.hosts {
		all, _, _ := h.Since(feed.Position{})
		held := map[string]int64{}
		for _, e := range all.Entries {
			held[e.Name] = e.Value
		}
		for name, v := range m.newest[i] {
			if held[name] < v {
				t.Fatalf("host %d went back from version %d of %s to %d", i, v, name, held[name])
			}
		}
		m.newest[i] = held
	}
}

// Guards against hosts that revert to an older version of an object, or stay different from the store, after the store
// was restored from a backup. Objects are written at random, lost writes are repeated later, two hosts list the store,
// all hosts read from each other, and some restart.
func TestCopiesAgreeThroughEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEraModel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "write", "copy", "restore", "write lost", "start", "read", "read", "hear", "hear"}).Draw(t, "step") {
			case "write":
				m.version++
				m.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), m.version)
			case "copy":
				m.backups = append(m.backups, m.backup())
			case "restore":
				m.restore(rapid.SampledFrom(m.backups[max(0, len(m.backups)-2):]).Draw(t, "copy"))
			case "write lost":
				m.writeLost()
			case "start":
				m.restart(rapid.IntRange(0, 2).Draw(t, "host"))
			case "read":
				m.listStore(t, rapid.IntRange(0, 1).Draw(t, "host"))
			case "hear":
				m.syncHost(rapid.IntRange(0, 2).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "from"))
			}
			m.check(t)
		}
		for _, name := range slices.Sorted(maps.Keys(m.truth)) {
			m.write(name, m.truth[name])
		}
		m.listStore(t, 0)
		m.listStore(t, 1)
		m.syncHost(2, 0)
		m.check(t)
		for i := range m.hosts {
			if !maps.Equal(m.newest[i], m.truth) {
				t.Fatalf("host %d holds %v, the store %v", i, m.newest[i], m.truth)
			}
		}
	})
}

// Guards against a host of an earlier version, which sends no era, that is sent full lists in a loop.
func TestAskerWithoutAnEraWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := replicasCopy()
		c.ApplyList(batchOf(3, 10, replicaRow("a", 9, 1, platform.StateLive)), time.Now(), false)
		m := &relay.Methods{Clock: clock.System{}, ReplicaCopy: c}
		began := time.Now()
		var rep relay.Reply[platform.Replica]
		qt.Assert(t, m.Replicas(&relay.Args{Since: 10, Wait: time.Second}, &rep), qt.IsNil)
		qt.Check(t, time.Since(began), qt.Equals, time.Second)
		qt.Check(t, rep.Full, qt.IsFalse)
	})
}

// Guards against a host that reverts to an older version retained by its parent. The parent had not received the latest
// version before the restore, and its revision is higher than those of the new era.
func TestParentKeepsLessThanItsChild(t *testing.T) {
	now := time.Unix(100, 0)
	version := func(revision, v int64) feed.Entry[int64] {
		return feed.Entry[int64]{Name: "main", Revision: revision, Value: v}
	}
	for _, crossed := range []bool{false, true} {
		var copies [2]*relay.Copy[int64]
		for i := range copies {
			copies[i] = relay.NewCopy(relay.Options[int64]{KeepAbsent: true, Older: func(got, held int64) bool { return got < held }})
			copies[i].ApplyList(batchOf(1, 18, version(18, 79)), now, false)
		}
		parent, child := copies[0], copies[1]
		child.ApplyChanges(batchOf(1, 20, version(20, 81)), now, false)
		parent.ApplyList(batchOf(2, 12, version(9, 77)), now, false)
		if crossed {
			child.ApplyList(batchOf(2, 12, version(9, 77)), now, false)
		}
		all, _, _ := parent.Since(feed.Position{})
		child.ApplyList(all, now, false)
		kept, _ := parent.Retained()
		child.MergeRetained(kept, now)
		held, _, _ := child.Since(feed.Position{})
		qt.Check(t, held.Entries[0].Value, qt.Equals, int64(81), qt.Commentf("child entered the era first: %v", crossed))
	}
}

// Guards against a replica that disappears on one host some time after a restore, because the host had a newer row of
// it than its parent.
func TestRowNewerThanTheParentsStays(t *testing.T) {
	now := time.Unix(100, 0)
	parent, child := replicasCopy(), replicasCopy()
	for _, c := range []*relay.Copy[platform.Replica]{parent, child} {
		c.ApplyList(batchOf(1, 10, replicaRow("a", 3, 4, platform.StateLive)), now, false)
	}
	parent.ApplyChanges(batchOf(1, 11, replicaRow("a", 11, 5, platform.StateLive)), now, false)
	child.ApplyChanges(batchOf(1, 12, replicaRow("a", 12, 6, platform.StateLeaving)), now, false)
	parent.ApplyList(batchOf(2, 9, replicaRow("a", 3, 4, platform.StateLive)), now, false)
	all, _, _ := parent.Since(feed.Position{})
	child.ApplyList(all, now, false)
	child.ApplyChanges(batchOf[platform.Replica](2, 9), now.Add(keepFor), false)
	qt.Check(t, describe(child, showRow), qt.DeepEquals, []string{"a leaving 6"})
}
