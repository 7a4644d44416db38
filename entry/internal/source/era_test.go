package source_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/relay"
	"guavaspring.org/entry/internal/source"
)

// storeLatency is the latency of the store.
const storeLatency = 4 * time.Millisecond

// eraStore is a store with one object whose versions rise, and that can be restored from backups.
type eraStore struct {
	mu       sync.Mutex
	era      int64
	revision int64
	object   feed.Entry[int64]
	changed  chan struct{}
	// rejected holds the hosts that the store rejects; all makes it reject every host.
	rejected map[string]bool
	down     bool
	calls    map[string]int
	// omitsEra leaves the era out of replies.
	omitsEra bool
}

// eraBackup is a backup of the store.
type eraBackup struct {
	revision int64
	object   feed.Entry[int64]
}

func newEraStore() *eraStore {
	s := &eraStore{era: 1, revision: 100, changed: make(chan struct{}), rejected: map[string]bool{}, calls: map[string]int{}}
	s.write(1)
	return s
}

func (s *eraStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores a version of the object.
func (s *eraStore) write(version int64) {
	s.set(func() {
		s.revision++
		s.object = feed.Entry[int64]{Name: "main", Revision: s.revision, Value: version}
	})
}

// advance advances the revision counter, as writes of other kinds do.
func (s *eraStore) advance(n int64) { s.set(func() { s.revision += n }) }

func (s *eraStore) backup() eraBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return eraBackup{s.revision, s.object}
}

func (s *eraStore) restore(c eraBackup) {
	s.set(func() {
		s.era++
		s.revision, s.object = c.revision, c.object
	})
}

// batch returns the changes since a revision; s.mu must be held.
func (s *eraStore) batch(since int64) feed.Batch[int64] {
	b := feed.Batch[int64]{Era: s.era, Revision: s.revision}
	if s.omitsEra {
		b.Era = 0
	}
	if s.object.Revision > since {
		b.Entries = []feed.Entry[int64]{s.object}
	}
	return b
}

// read returns the changes since a revision and a channel that is closed at the next change of the store, or an error
// if the store rejects the host or lacks the revision.
func (s *eraStore) read(ctx context.Context, name string, since int64) (feed.Batch[int64], <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.rejected[name] {
		return feed.Batch[int64]{}, nil, errUnavailable
	}
	if since > s.revision {
		return feed.Batch[int64]{}, nil, feed.ErrCompacted
	}
	return s.batch(since), s.changed, ctx.Err()
}

func (s *eraStore) recordCall(ctx context.Context, name string) {
	s.mu.Lock()
	s.calls[name]++
	s.mu.Unlock()
	clock.Sleep(ctx, clock.System{}, storeLatency)
}

func (s *eraStore) watch(ctx context.Context, name string, since int64, wait time.Duration) (feed.Batch[int64], error) {
	s.recordCall(ctx, name)
	end := time.After(wait)
	for {
		b, changed, err := s.read(ctx, name, since)
		if err != nil || len(b.Entries) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-end:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// eraHost is a host of an eraFleet.
type eraHost struct {
	*host
	frozen bool
	// newest is the highest version applied so far, undone lists the updates that went back to a lower one.
	newest      int64
	regressions []string
}

// eraFleet is a set of hosts that follow one store: the first two watch it, the others ask these.
type eraFleet struct {
	store *eraStore
	hosts []*eraHost
	// delay is the latency of a message between two hosts, asked the number of such messages.
	delay time.Duration
	asked int
	// outage is shared with the fleet of another kind on the same hosts; it may be nil.
	outage *source.StoreState
}

func (f *eraFleet) setDelay(d time.Duration) { f.store.set(func() { f.delay = d }) }

// simulateLatency waits for the latency of a message between two hosts.
func (f *eraFleet) simulateLatency(ctx context.Context) {
	f.store.mu.Lock()
	d := f.delay
	f.asked++
	f.store.mu.Unlock()
	if d > 0 {
		clock.Sleep(ctx, clock.System{}, d)
	}
}

func (f *eraFleet) start(ctx context.Context, name string) *eraHost {
	opts := relay.Options[int64]{LastGood: true, KeepAbsent: true, Older: func(got, held int64) bool { return got < held }}
	h := &eraHost{host: &host{name: name, copy: relay.NewCopy(opts)}}
	apply := func(b feed.Batch[int64], _ bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, e := range b.Entries {
			if e.Deleted || e.Value < h.newest {
				h.regressions = append(h.regressions, fmt.Sprintf("%s: version %d to %d", name, h.newest, e.Value))
			}
			h.seen, h.newest = e.Value, max(h.newest, e.Value)
		}
	}
	go source.New(source.Options[int64]{
		Clock: clock.System{}, Log: logr.Discard(), Name: "config", Bound: bound, Copy: h.copy, Replace: apply, Change: apply, Reconnect: func() {},
		Outage:  f.outage,
		Parents: func() ([]source.Parent[int64], bool) { return f.parents(h) },
		Others:  func() []source.Parent[int64] { return f.others(h) },
		List: func(ctx context.Context) (feed.Batch[int64], error) {
			f.waitWhileFrozen(ctx, h)
			f.store.recordCall(ctx, name)
			b, _, err := f.store.read(ctx, name, 0)
			return b, err
		},
		Watch: func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[int64], error) {
			b, err := f.store.watch(ctx, name, since, wait)
			f.waitWhileFrozen(ctx, h)
			return b, err
		},
	}).Run(ctx)
	f.store.set(func() { f.hosts = append(f.hosts, h) })
	return h
}

// waitWhileFrozen blocks while a host is frozen.
func (f *eraFleet) waitWhileFrozen(ctx context.Context, h *eraHost) {
	for ctx.Err() == nil && h.isFrozen() {
		clock.Sleep(ctx, clock.System{}, 10*time.Millisecond)
	}
}

func (h *eraHost) isFrozen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen
}

func (h *eraHost) freeze(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = frozen
}

func (f *eraFleet) parents(h *eraHost) ([]source.Parent[int64], bool) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	at := slices.Index(f.hosts, h)
	var list []source.Parent[int64]
	for i, p := range f.hosts[:min(2, len(f.hosts))] {
		if i != at {
			list = append(list, f.parent(p))
		}
	}
	return list, at >= 0 && at < 2
}

func (f *eraFleet) others(h *eraHost) []source.Parent[int64] {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var list []source.Parent[int64]
	for _, p := range slices.Backward(f.hosts) {
		if p != h && len(list) < 2 {
			list = append(list, f.parent(p))
		}
	}
	return list
}

func (f *eraFleet) parent(p *eraHost) source.Parent[int64] {
	return source.Parent[int64]{Name: p.name, Ask: func(ctx context.Context, args relay.Args) (relay.Reply[int64], error) {
		f.simulateLatency(ctx)
		f.waitWhileFrozen(ctx, p)
		rep, err := ask(ctx, p.host, args)
		f.simulateLatency(ctx)
		return rep, err
	}}
}

// replace starts a new host in place of one whose process is gone.
func (f *eraFleet) replace(ctx context.Context, i int) *eraHost {
	h := f.start(ctx, f.hosts[i].name+"-again")
	f.store.set(func() {
		f.hosts = f.hosts[:len(f.hosts)-1]
		f.hosts[i] = h
	})
	return h
}

// runEraFleet runs f with a fleet whose hosts have applied version 1.
func runEraFleet(t *testing.T, hosts int, f func(ctx context.Context, fleet *eraFleet, s *eraStore)) {
	runInBubble(t, func(ctx context.Context) {
		s := newEraStore()
		fleet := &eraFleet{store: s}
		for i := range hosts {
			fleet.start(ctx, fmt.Sprint("host-", i))
		}
		time.Sleep(5*time.Second + 7*time.Millisecond)
		f(ctx, fleet, s)
		for _, h := range fleet.hosts {
			h.mu.Lock()
			qt.Check(t, h.regressions, qt.HasLen, 0)
			h.mu.Unlock()
		}
	})
}

// checkVersion checks that all hosts have applied a version or a newer one.
func (f *eraFleet) checkVersion(t *testing.T, version int64, when string) {
	t.Helper()
	for _, h := range f.hosts {
		qt.Check(t, h.value() >= version, qt.IsTrue, qt.Commentf("%s: version %d on %s, want %d", when, h.value(), h.name, version))
	}
}

// Guards against versions that are undone or never applied after the store is restored from an older backup. The
// restore falls on any moment of a watch, with or without a host cut off, and takes no time or two seconds.
func TestConfirmedVersionsOutliveRestore(t *testing.T) {
	for step := range 20 {
		for _, outage := range []time.Duration{0, 2 * time.Second} {
			for _, cut := range []string{"", "host-0", "host-5"} {
				runEraFleet(t, 6, func(_ context.Context, fleet *eraFleet, s *eraStore) {
					when := fmt.Sprintf("moment %d, outage of %s, %q cut off", step, outage, cut)
					s.write(2)
					old := s.backup()
					s.advance(3)
					s.write(3)
					time.Sleep(bound + time.Duration(step)*100*time.Millisecond)
					fleet.checkVersion(t, 3, when+", before the restore")
					s.set(func() { s.down, s.rejected[cut] = outage > 0, cut != "" })
					time.Sleep(outage)
					s.restore(old)
					s.set(func() { s.down = false })
					time.Sleep(time.Second)
					// Its revision is under that of version 3.
					s.write(4)
					time.Sleep(bound)
					fleet.checkVersion(t, 4, when)
				})
			}
		}
	}
}

// Guards against comparing revisions of two eras: after a restore each new version has the revision of an older one.
func TestRevisionsAreGivenOutAgain(t *testing.T) {
	for _, lost := range []int64{1, 2, 5} {
		runEraFleet(t, 5, func(_ context.Context, fleet *eraFleet, s *eraStore) {
			old := s.backup()
			version := int64(1)
			for range lost {
				version++
				s.write(version)
			}
			time.Sleep(bound)
			s.restore(old)
			for range lost {
				version++
				s.write(version)
			}
			time.Sleep(bound)
			fleet.checkVersion(t, version, fmt.Sprintf("%d lost", lost))
		})
	}
}

// Guards against mixing up eras after two restores in quick succession, with one host frozen during one or both.
func TestTwoRestoresInShortOrder(t *testing.T) {
	for _, frozenHost := range []int{0, 1, 4} {
		for _, betweenRestores := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
			runEraFleet(t, 5, func(_ context.Context, fleet *eraFleet, s *eraStore) {
				old := s.backup()
				s.write(2)
				time.Sleep(bound)
				fleet.hosts[frozenHost].freeze(true)
				s.restore(old)
				time.Sleep(betweenRestores)
				s.write(3)
				s.advance(7)
				time.Sleep(200 * time.Millisecond)
				s.restore(old)
				fleet.hosts[frozenHost].freeze(false)
				s.write(4)
				time.Sleep(bound)
				fleet.checkVersion(t, 4, fmt.Sprintf("host-%d frozen, restored again after %s", frozenHost, betweenRestores))
			})
		}
	}
}

// Guards against hosts that stay in the old era after a restore: the store rejects half of the fleet.
func TestRestoreWhileHalfIsTurnedAway(t *testing.T) {
	for _, first := range []int{0, 1} {
		runEraFleet(t, 8, func(_ context.Context, fleet *eraFleet, s *eraStore) {
			old := s.backup()
			s.write(2)
			time.Sleep(bound)
			s.set(func() {
				for i := first; i < 8; i += 2 {
					s.rejected[fmt.Sprint("host-", i)] = true
				}
			})
			time.Sleep(time.Second)
			s.restore(old)
			time.Sleep(time.Second)
			s.write(3)
			time.Sleep(bound)
			fleet.checkVersion(t, 3, fmt.Sprintf("host-%d and every second host rejected", first))
			for _, h := range fleet.hosts {
				st, _ := h.copy.State()
				qt.Check(t, st.Era, qt.Equals, int64(2), qt.Commentf("%s", h.name))
			}
		})
	}
}

// Guards against a host that starts after a restore and has only the objects of the backup, while the others have newer
// ones. Hosts that watch the store are among those that start.
func TestHostsThatStartAfterRestore(t *testing.T) {
	for _, started := range [][]int{{0}, {1}, {4}, {0, 1}, {0, 1, 4}} {
		for _, after := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
			runEraFleet(t, 6, func(ctx context.Context, fleet *eraFleet, s *eraStore) {
				old := s.backup()
				s.write(2)
				time.Sleep(bound)
				s.restore(old)
				time.Sleep(after)
				for _, i := range started {
					fleet.hosts[i].freeze(true)
					fleet.replace(ctx, i)
				}
				time.Sleep(bound)
				fleet.checkVersion(t, 2, fmt.Sprintf("%v started %s after the restore", started, after))
				s.write(3)
				time.Sleep(bound)
				fleet.checkVersion(t, 3, "after the next write")
			})
		}
	}
}

// Guards against hosts that wait for a newer version than the store has, when all of them start after a restore.
func TestAllHostsStartAfterRestore(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		s := newEraStore()
		old := s.backup()
		s.write(2)
		s.restore(old)
		fleet := &eraFleet{store: s}
		for i := range 5 {
			fleet.start(ctx, fmt.Sprint("host-", i))
		}
		time.Sleep(time.Second)
		fleet.checkVersion(t, 1, "as in the backup")
		s.write(3)
		time.Sleep(bound)
		fleet.checkVersion(t, 3, "the next write")
	})
}

// Guards against all hosts calling the store after a restore: only the two that watch it list it again, the others ask
// these.
func TestRestoreCostsFewCalls(t *testing.T) {
	for _, hosts := range []int{10, 60, 200} {
		runEraFleet(t, hosts, func(_ context.Context, fleet *eraFleet, s *eraStore) {
			old := s.backup()
			s.write(2)
			time.Sleep(bound)
			before := map[string]int{}
			s.set(func() { before = maps.Clone(s.calls) })
			s.restore(old)
			time.Sleep(2 * bound)
			total := 0
			s.set(func() {
				for name, n := range s.calls {
					total += n - before[name]
				}
			})
			// Each of the two hosts lists once and watches about once a second.
			qt.Check(t, total <= 2*(2+6), qt.IsTrue, qt.Commentf("%d calls of %d hosts", total, hosts))
			s.write(3)
			time.Sleep(bound)
			fleet.checkVersion(t, 3, fmt.Sprintf("%d hosts", hosts))
		})
	}
}

// Guards against changed behavior with a store that never sends its era.
func TestStoreWithoutEras(t *testing.T) {
	runEraFleet(t, 5, func(_ context.Context, fleet *eraFleet, s *eraStore) {
		s.set(func() { s.omitsEra = true })
		for version := range int64(5) {
			s.write(version + 2)
			time.Sleep(bound)
			fleet.checkVersion(t, version+2, "without an era")
		}
	})
}

// Guards against two watching hosts that the store rejects and that take each other's replies for fresh data of the
// store: the hosts that ask them wait for a change that neither receives.
func TestHostsThatHearFromEachOtherGrowOld(t *testing.T) {
	for step := range 20 {
		runEraFleet(t, 6, func(_ context.Context, fleet *eraFleet, s *eraStore) {
			fleet.setDelay(1400 * time.Microsecond)
			time.Sleep(time.Duration(step) * 100 * time.Millisecond)
			s.set(func() { s.rejected["host-0"], s.rejected["host-1"] = true, true })
			time.Sleep(bound)
			s.write(2)
			time.Sleep(bound)
			fleet.checkVersion(t, 2, fmt.Sprintf("moment %d", step))
		})
	}
}

// Guards against hosts that ask each other during an outage and count the travel time of messages as confirmation by
// the store.
func TestAgeGrowsWhileHostsHearFromEachOther(t *testing.T) {
	for step := range 20 {
		runEraFleet(t, 4, func(_ context.Context, fleet *eraFleet, s *eraStore) {
			fleet.setDelay(1400 * time.Microsecond)
			time.Sleep(time.Duration(step) * 100 * time.Millisecond)
			outageStart, asked := time.Now(), 0
			s.set(func() { s.down, asked = true, fleet.asked })
			time.Sleep(30 * time.Second)
			// Each host asks another one once per wait, which is at least 100 ms, and replies count as well.
			s.set(func() {
				qt.Check(t, fleet.asked-asked <= 4*30*10*2, qt.IsTrue, qt.Commentf("%d messages in 30 s", fleet.asked-asked))
			})
			for _, h := range fleet.hosts {
				st, _ := h.copy.State()
				qt.Check(t, st.Confirmed.After(outageStart), qt.IsFalse, qt.Commentf("%s, moment %d: confirmed %s after the start of the outage", h.name, step, st.Confirmed.Sub(outageStart)))
			}
			s.set(func() { s.down = false })
		})
	}
}

// Guards against a kind of objects that is listed seconds after the others in a new era: an object written before the
// list can't be told apart from one of the backup.
func TestKindsEnterANewEraTogether(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		outage := source.NewOutage()
		stores := []*eraStore{newEraStore(), newEraStore()}
		var hosts []*eraHost
		for _, s := range stores {
			fleet := &eraFleet{store: s, outage: outage}
			hosts = append(hosts, fleet.start(ctx, "host"))
		}
		time.Sleep(5 * time.Second)
		for _, s := range stores {
			s.restore(s.backup())
		}
		stores[0].write(2)
		time.Sleep(10 * storeLatency)
		for i, h := range hosts {
			st, _ := h.copy.State()
			qt.Check(t, st.Era, qt.Equals, int64(2), qt.Commentf("kind %d", i))
		}
	})
}
