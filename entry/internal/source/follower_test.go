package source_test

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/event"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/relay"
	"guavaspring.org/entry/internal/source"
)

const bound = 3 * time.Second

// testStore is a store with one object that holds a number.
type testStore struct {
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
	// dropsHistory makes watches miss all changes until their wait is over, and then fail because the history is gone.
	dropsHistory bool
	// rejected holds the hosts that the store rejects.
	rejected map[string]bool
	// hangs makes every call hang until its caller gives up, watchesHang every watch.
	hangs, watchesHang bool
	calls              map[string]int
}

func newTestStore() *testStore {
	return &testStore{revision: 1, changed: make(chan struct{}), rejected: map[string]bool{}, calls: map[string]int{}}
}

func (w *testStore) write() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *testStore) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

var errUnavailable = errors.New("store unavailable")

func (w *testStore) call(ctx context.Context, name string) (int64, <-chan struct{}, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[name]++
	if w.rejected[name] {
		return 0, nil, false, errUnavailable
	}
	if w.hangs {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return 0, nil, false, ctx.Err()
	}
	return w.revision, w.changed, w.dropsHistory, nil
}

func (w *testStore) doWatchesHang() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watchesHang
}

func batch(revision int64) feed.Batch[int64] {
	return feed.Batch[int64]{Revision: revision, Entries: []feed.Entry[int64]{{Name: "main", Revision: revision, Value: revision}}}
}

// host is a host that follows the store.
type host struct {
	name string
	copy *relay.Copy[int64]
	mu   sync.Mutex
	seen int64
	// parents are the hosts that it asks for changes; a host that watches the store asks them only while the store rejects
	// it.
	parents []*host
	watches bool
	// down makes the host refuse connections.
	down bool
}

func (h *host) parentList() ([]source.Parent[int64], bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]source.Parent[int64], len(h.parents))
	for i, p := range h.parents {
		list[i] = source.Parent[int64]{Name: p.name, Ask: func(ctx context.Context, args relay.Args) (relay.Reply[int64], error) {
			return ask(ctx, p, args)
		}}
	}
	return list, h.watches
}

// addParent makes a host that watches the store ask p as well.
func (h *host) addParent(p *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.parents = []*host{p}
}

func (h *host) value() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen
}

func (h *host) apply(b feed.Batch[int64], _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range b.Entries {
		h.seen = e.Value
	}
}

// follow starts a host that asks parents, or watches the store itself if there are none.
func (w *testStore) follow(ctx context.Context, name string, parents ...*host) *host {
	return w.followWithOutage(ctx, name, source.NewOutage(), parents...)
}

// followWithOutage starts a host that shares the outage state with another kind of objects.
func (w *testStore) followWithOutage(ctx context.Context, name string, outage *source.StoreState, parents ...*host) *host {
	h := &host{name: name, copy: relay.NewCopy(relay.Options[int64]{}), parents: parents, watches: len(parents) == 0}
	go source.New(w.options(h, outage)).Run(ctx)
	return h
}

// start starts a host with seeds; wanted is closed when a client request waits.
func (w *testStore) start(ctx context.Context, name string, wanted <-chan struct{}, seeds ...*host) *host {
	h := &host{name: name, copy: relay.NewCopy(relay.Options[int64]{}), parents: seeds}
	opts := w.options(h, source.NewOutage())
	opts.Wanted = wanted
	opts.First = func() []source.Parent[int64] {
		list, _ := h.parentList()
		return list
	}
	go source.New(opts).Run(ctx)
	return h
}

// options returns the options with which h follows the store.
func (w *testStore) options(h *host, outage *source.StoreState) source.Options[int64] {
	name := h.name
	return source.Options[int64]{
		Outage: outage,
		Clock:  clock.System{}, Log: logr.Discard(), Name: "config", Bound: bound, Copy: h.copy, Replace: h.apply, Change: h.apply, Reconnect: func() {},
		Parents: h.parentList,
		List: func(ctx context.Context) (feed.Batch[int64], error) {
			revision, _, _, err := w.call(ctx, name)
			return batch(revision), err
		},
		Watch: func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[int64], error) {
			revision, changed, historyDropped, err := w.call(ctx, name)
			if err != nil {
				return feed.Batch[int64]{}, err
			}
			if w.doWatchesHang() {
				<-ctx.Done()
				return feed.Batch[int64]{}, ctx.Err()
			}
			if historyDropped {
				clock.Sleep(ctx, clock.System{}, wait)
				return feed.Batch[int64]{}, feed.ErrCompacted
			}
			if revision == since {
				select {
				case <-changed:
					revision++
				case <-time.After(wait):
					return feed.Batch[int64]{Revision: since}, nil
				case <-ctx.Done():
					return feed.Batch[int64]{}, ctx.Err()
				}
			}
			return batch(revision), nil
		},
	}
}

func ask(ctx context.Context, h *host, args relay.Args) (relay.Reply[int64], error) {
	h.mu.Lock()
	down := h.down
	h.mu.Unlock()
	if down {
		return relay.Reply[int64]{}, errors.New("connection refused")
	}
	type answer struct {
		rep relay.Reply[int64]
		err error
	}
	done := make(chan answer, 1)
	go func() {
		var a answer
		if a.err = relay.Serve(clock.System{}, h.copy, &args, &a.rep); a.err == nil {
			a.err = a.rep.Unpack()
		}
		done <- a
	}()
	select {
	case a := <-done:
		return a.rep, a.err
	case <-ctx.Done():
		return relay.Reply[int64]{}, ctx.Err()
	}
}

func runInBubble(t *testing.T, f func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against changes that reach a host late: they pass through the watching host to the one that asks it at once,
// without another call to the store.
func TestChangesPassThrough(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		watcher := w.follow(ctx, "watcher")
		child := w.follow(ctx, "child", watcher)
		time.Sleep(10 * time.Second)
		w.write()
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, child.value(), qt.Equals, int64(2))
		time.Sleep(20 * time.Second)
		w.set(func() { qt.Check(t, w.calls["child"], qt.Equals, 1) })
	})
}

// Guards against calls that grow with the number of changes. When replicas of a hundred shards register within three
// seconds, each one would end a watch, a call that is paid for and counts against the rate that all hosts share. No
// change may be late because of that, and a single one is applied at once.
func TestManyChangesTakeFewCalls(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		watcher := w.follow(ctx, "watcher")
		time.Sleep(10*time.Second + 7*time.Millisecond)
		w.write()
		time.Sleep(10 * time.Millisecond)
		qt.Check(t, watcher.value(), qt.Equals, int64(2))
		time.Sleep(time.Second)
		var before int
		w.set(func() { before = w.calls["watcher"] })
		for range 300 {
			w.write()
			time.Sleep(10 * time.Millisecond)
		}
		w.set(func() {
			qt.Check(t, w.calls["watcher"]-before < 30, qt.IsTrue, qt.Commentf("%d calls for 300 changes in 3 s", w.calls["watcher"]-before))
		})
		// A twelfth of the bound leaves the rest for passing changes on to other hosts.
		time.Sleep(bound / 12)
		qt.Check(t, watcher.value(), qt.Equals, int64(302))
	})
}

// Guards against store calls of a host that starts before its seeds. All hosts of a fleet start within a third of a
// second: the host has to wait for the data of the seeds, unless a client request waits.
func TestStartBeforeTheNamedHosts(t *testing.T) {
	for _, clientWaits := range []bool{false, true} {
		runInBubble(t, func(ctx context.Context) {
			w := newTestStore()
			seed := &host{name: "named", copy: relay.NewCopy(relay.Options[int64]{}), watches: true}
			clientWaiting := make(chan struct{})
			started := w.start(ctx, "new", clientWaiting, seed)
			time.Sleep(200 * time.Millisecond)
			w.set(func() { qt.Check(t, w.calls["new"], qt.Equals, 0) })
			if clientWaits {
				close(clientWaiting)
			} else {
				seed.copy.ApplyList(batch(1), time.Now(), false)
			}
			time.Sleep(50 * time.Millisecond)
			qt.Check(t, started.value(), qt.Equals, int64(1))
			w.set(func() { qt.Check(t, w.calls["new"] > 0, qt.Equals, clientWaits) })
		})
	}
}

// Guards against a store call when a seed refuses connections at first. It is up 0.15 s later with all data, and has to
// be asked again before the store is called.
func TestStartBeforeTheNamedHostListens(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		seed := &host{name: "named", copy: relay.NewCopy(relay.Options[int64]{}), watches: true, down: true}
		seed.copy.ApplyList(batch(1), time.Now(), false)
		started := w.start(ctx, "new", nil, seed)
		time.Sleep(150 * time.Millisecond)
		seed.mu.Lock()
		seed.down = false
		seed.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		qt.Check(t, started.value(), qt.Equals, int64(1))
		w.set(func() { qt.Check(t, w.calls["new"], qt.Equals, 0) })
	})
}

// Guards against 5,600 store calls at once when a fleet starts and nothing changes. The seed lists the store at once,
// and watches it a second and a half later when its member list is complete. The hosts that asked the seed need another
// reply before their copies are stale, or each would call the store.
func TestStartWhileNothingChanges(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		settled := time.Now().Add(1500 * time.Millisecond)
		seed := &host{name: "named", copy: relay.NewCopy(relay.Options[int64]{}), watches: true}
		opts := w.options(seed, source.NewOutage())
		opts.Settled = func() bool { return time.Now().After(settled) }
		go source.New(opts).Run(ctx)
		w.start(ctx, "a", nil, seed)
		time.Sleep(20 * time.Second)
		w.set(func() { qt.Check(t, w.calls["a"], qt.Equals, 0) })
	})
}

// Guards against a host that waits for seeds that a power cut took down: without client requests it must have all data
// after two seconds.
func TestStartWithoutTheNamedHosts(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		started := w.start(ctx, "new", nil, &host{name: "named", copy: relay.NewCopy(relay.Options[int64]{}), watches: true})
		time.Sleep(2010 * time.Millisecond)
		qt.Check(t, started.value(), qt.Equals, int64(1))
	})
}

// Guards against a late change when the store drops its history during a watch: the watch misses the change and fails
// only at its end.
func TestDeafWatch(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		watcher := w.follow(ctx, "watcher")
		child := w.follow(ctx, "child", watcher)
		time.Sleep(10*time.Second + 7*time.Millisecond)
		w.set(func() { w.dropsHistory = true })
		time.Sleep(bound)
		w.write()
		time.Sleep(bound)
		qt.Assert(t, watcher.value(), qt.Equals, int64(2))
		qt.Assert(t, child.value(), qt.Equals, int64(2))
	})
}

// Guards against a late change when the parent is cut off from the store or stops replying: the hosts that ask it have
// to ask the store themselves within the bound.
func TestParentCutOff(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		watcher := w.follow(ctx, "watcher")
		child := w.follow(ctx, "child", watcher)
		time.Sleep(10 * time.Second)
		w.set(func() { w.rejected["watcher"] = true })
		time.Sleep(time.Second)
		w.write()
		time.Sleep(bound)
		qt.Assert(t, child.value(), qt.Equals, int64(2))
	})
}

// Guards against a host that refuses all requests because the store rejects it at its start, while its neighbors have
// the configuration.
func TestStartWhileTurnedAway(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		watcher := w.follow(ctx, "watcher")
		time.Sleep(time.Second)
		w.set(func() { w.rejected["new"] = true })
		started := w.follow(ctx, "new", watcher)
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, started.value(), qt.Equals, int64(1))
		w.write()
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, started.value(), qt.Equals, int64(2))
		time.Sleep(20 * time.Second)
		w.set(func() { qt.Check(t, w.calls["new"] < 12, qt.IsTrue, qt.Commentf("%d calls", w.calls["new"])) })
	})
}

// Guards against a late change after the store has hung for some seconds. The change is written at the recovery;
// wherever a host is in a hanging call or the backoff after it, the change must be applied within the bound.
func TestSilentStoreComesBack(t *testing.T) {
	for step := range 40 {
		runInBubble(t, func(ctx context.Context) {
			w := newTestStore()
			first, second := w.follow(ctx, "first"), w.follow(ctx, "second")
			first.addParent(second)
			second.addParent(first)
			hosts := []*host{first, second, w.follow(ctx, "third", first, second), w.follow(ctx, "fourth", second, first)}
			time.Sleep(10 * time.Second)
			w.set(func() { w.hangs = true })
			time.Sleep(8*time.Second + time.Duration(step)*100*time.Millisecond)
			w.set(func() { w.hangs = false })
			w.write()
			time.Sleep(bound - 500*time.Millisecond)
			for _, h := range hosts {
				qt.Check(t, h.value(), qt.Equals, int64(2), qt.Commentf("%s, calls hung for 8 s and %d00 ms", h.name, step))
			}
		})
	}
}

// Guards against a lost watch that makes all hosts list the store at once, thousands of replicas for each of a thousand
// hosts: the watching hosts have to list it before the copies of the others are stale.
func TestLostWatchCostsTheWatchersAlone(t *testing.T) {
	for _, hosts := range []int{4, 50} {
		for step := range 30 {
			runInBubble(t, func(ctx context.Context) {
				w := newTestStore()
				first, second := w.follow(ctx, "first"), w.follow(ctx, "second")
				first.addParent(second)
				second.addParent(first)
				for range hosts {
					w.follow(ctx, "other", first, second)
				}
				time.Sleep(10*time.Second + time.Duration(step)*100*time.Millisecond)
				before := 0
				w.set(func() { before, w.watchesHang = w.calls["other"], true })
				time.Sleep(2 * bound)
				w.set(func() { w.watchesHang = false })
				time.Sleep(2 * bound)
				w.set(func() {
					qt.Check(t, w.calls["other"]-before, qt.Equals, 0, qt.Commentf("%d hosts, watches lost from %d00 ms on", hosts, step))
				})
			})
		}
	}
}

// Guards against separate calls for each kind of objects during an outage, in a fleet of hundreds most of the calls
// that it costs. The backoff grows to two seconds in five calls.
func TestKindsShareOutageBackoff(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		configs, replicas := newTestStore(), newTestStore()
		outage := source.NewOutage()
		cut := &host{name: "cut", copy: relay.NewCopy(relay.Options[int64]{})}
		config := configs.followWithOutage(ctx, "host", outage, cut)
		replica := replicas.followWithOutage(ctx, "host", outage, cut)
		time.Sleep(5 * time.Second)
		calls := 0
		for _, w := range []*testStore{configs, replicas} {
			w.set(func() {
				w.rejected["host"] = true
				calls -= w.calls["host"]
			})
		}
		time.Sleep(30 * time.Second)
		for _, w := range []*testStore{configs, replicas} {
			w.set(func() { calls += w.calls["host"] })
		}
		qt.Check(t, calls <= 30/2+5, qt.IsTrue, qt.Commentf("%d calls in 30 s", calls))
		for _, w := range []*testStore{configs, replicas} {
			w.set(func() { w.rejected["host"] = false })
			w.write()
		}
		time.Sleep(bound)
		qt.Check(t, config.value(), qt.Equals, int64(2))
		qt.Check(t, replica.value(), qt.Equals, int64(2))
	})
}

// Guards against a configuration that names new shards and is read up to a second before the list of their replicas:
// every page fails meanwhile. Both kinds have to be read together whenever the store recovers, also on a host that asks
// another one.
func TestKindsReturnTogether(t *testing.T) {
	for i := range 40 {
		for _, standalone := range []bool{true, false} {
			runInBubble(t, func(ctx context.Context) {
				configs, replicas := newTestStore(), newTestStore()
				outage := source.NewOutage()
				config := configs.followWithOutage(ctx, "host", outage)
				time.Sleep(137 * time.Millisecond)
				replica := replicas.followWithOutage(ctx, "host", outage)
				if !standalone {
					replica.addParent(replicas.follow(ctx, "other"))
				}
				time.Sleep(5 * time.Second)
				for _, w := range []*testStore{configs, replicas} {
					w.set(func() { w.rejected["host"], w.rejected["other"] = true, true })
				}
				time.Sleep(6*time.Second + time.Duration(i)*37*time.Millisecond)
				for _, w := range []*testStore{configs, replicas} {
					w.write()
					w.set(func() { w.rejected["host"] = false })
				}
				end := time.Now().Add(2 * time.Second)
				for config.value() != 2 && time.Now().Before(end) {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(5 * time.Millisecond)
				qt.Check(t, config.value(), qt.Equals, int64(2), qt.Commentf("moment %d", i))
				qt.Check(t, replica.value(), qt.Equals, int64(2), qt.Commentf("moment %d, standalone %v", i, standalone))
			})
		}
	}
}

// Guards against older replies that are rejected without a log line: hosts that apply nothing look healthy.
func TestOlderAnswersAreReported(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		w.revision = 9
		var lines strings.Builder
		older := 0
		opts := w.options(&host{name: "watcher", copy: relay.NewCopy(relay.Options[int64]{}), watches: true}, source.NewOutage())
		opts.Log = event.NewLogger(&lines)
		opts.Older = func() { w.set(func() { older++ }) }
		go source.New(opts).Run(ctx)
		time.Sleep(time.Second)
		w.set(func() { w.revision = 5 })
		time.Sleep(2 * bound)
		w.set(func() { qt.Check(t, older > 1, qt.IsTrue) })
		qt.Check(t, strings.Count(lines.String(), `"msg":"answer_older"`), qt.Equals, 1)
		qt.Check(t, strings.Contains(lines.String(), `"kind":"config","from":"store","revision":5,"known":9`), qt.IsTrue, qt.Commentf("%s", lines.String()))
	})
}

// Guards against calls without pause to a store whose replies are too old, by six hosts 1,000 times a second. The
// backoff grows to two seconds in five calls.
func TestOlderAnswersAreNotAskedForAtOnce(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		w := newTestStore()
		w.revision = 9
		first, second := w.follow(ctx, "first"), w.follow(ctx, "second")
		first.addParent(second)
		second.addParent(first)
		for range 50 {
			w.follow(ctx, "other", first, second)
		}
		time.Sleep(time.Second)
		w.set(func() { w.revision = 5 })
		time.Sleep(bound)
		before := map[string]int{}
		w.set(func() { before = maps.Clone(w.calls) })
		time.Sleep(20 * time.Second)
		w.set(func() {
			qt.Check(t, w.calls["first"]-before["first"] <= 20*4, qt.IsTrue, qt.Commentf("%d calls in 20 s", w.calls["first"]-before["first"]))
			qt.Check(t, w.calls["other"]-before["other"] <= 50*(20/2+5), qt.IsTrue, qt.Commentf("%d calls of 50 hosts in 20 s", w.calls["other"]-before["other"]))
			w.revision = 10
		})
		time.Sleep(bound)
		qt.Check(t, first.value(), qt.Equals, int64(10))
	})
}

// Guards against a watching host that the store rejects after an outage for all hosts, and that asks no other host.
func TestWatcherTurnedAwayAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2500 * time.Millisecond, 10 * time.Second} {
		runInBubble(t, func(ctx context.Context) {
			w := newTestStore()
			first, second := w.follow(ctx, "first"), w.follow(ctx, "second")
			first.addParent(second)
			second.addParent(first)
			child := w.follow(ctx, "child", first, second)
			time.Sleep(10 * time.Second)
			w.set(func() { w.rejected["first"], w.rejected["second"], w.rejected["child"] = true, true, true })
			time.Sleep(outage)
			w.set(func() { w.rejected["second"] = false })
			time.Sleep(time.Second)
			w.write()
			time.Sleep(bound)
			qt.Check(t, first.value(), qt.Equals, int64(2), qt.Commentf("rejected host, after an outage of %s", outage))
			qt.Check(t, child.value(), qt.Equals, int64(2), qt.Commentf("host that asks it, after an outage of %s", outage))
		})
	}
}
