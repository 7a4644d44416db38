package source_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/relay"
	"guavaspring.org/entry/internal/source"
)

const bound = 3 * time.Second

// world is a store with one object that holds a number, and hosts that follow it.
type world struct {
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
	// deaf lets watches hear nothing until their wait is over, and then tells that the history is gone.
	deaf bool
	// away holds the hosts that the store turns away.
	away  map[string]bool
	calls map[string]int
}

func newWorld() *world {
	return &world{revision: 1, changed: make(chan struct{}), away: map[string]bool{}, calls: map[string]int{}}
}

func (w *world) write() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

var errAway = errors.New("the store is away")

func (w *world) call(name string) (int64, <-chan struct{}, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[name]++
	if w.away[name] {
		return 0, nil, false, errAway
	}
	return w.revision, w.changed, w.deaf, nil
}

func batch(revision int64) feed.Batch[int64] {
	return feed.Batch[int64]{Revision: revision, Entries: []feed.Entry[int64]{{Name: "main", Revision: revision, Value: revision}}}
}

// host follows the world.
type host struct {
	name string
	copy *relay.Copy[int64]
	mu   sync.Mutex
	seen int64
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

// follow starts a host that hears from parents, and watches the store itself where it has none.
func (w *world) follow(ctx context.Context, name string, parents ...*host) *host {
	h := &host{name: name, copy: relay.NewCopy[int64]()}
	list := make([]source.Parent[int64], len(parents))
	for i, p := range parents {
		m := p
		list[i] = source.Parent[int64]{Name: p.name, Ask: func(ctx context.Context, args relay.Args) (relay.Reply[int64], error) {
			return ask(ctx, m, args)
		}}
	}
	f := source.New(source.Options[int64]{
		Clock: clock.System{}, Log: logr.Discard(), Name: "config", Bound: bound, Copy: h.copy, Replace: h.apply, Change: h.apply, Reconnect: func() {},
		Parents: func() ([]source.Parent[int64], bool) { return list, len(list) == 0 },
		List: func(context.Context) (feed.Batch[int64], error) {
			revision, _, _, err := w.call(name)
			return batch(revision), err
		},
		Watch: func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[int64], error) {
			revision, changed, deaf, err := w.call(name)
			if err != nil {
				return feed.Batch[int64]{}, err
			}
			if deaf {
				clock.Sleep(ctx, clock.System{}, wait)
				return feed.Batch[int64]{}, feed.ErrHistoryGone
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
	})
	go f.Run(ctx)
	return h
}

func ask(ctx context.Context, h *host, args relay.Args) (relay.Reply[int64], error) {
	st, changed := h.copy.State()
	if st.Revision <= args.Since {
		select {
		case <-changed:
		case <-time.After(args.Wait):
		case <-ctx.Done():
			return relay.Reply[int64]{}, ctx.Err()
		}
		st, _ = h.copy.State()
	}
	b, full, _ := h.copy.Since(args.Since)
	age := time.Duration(-1)
	if !st.Confirmed.IsZero() {
		age = time.Since(st.Confirmed)
	}
	return relay.Reply[int64]{Full: full, Entries: b.Entries, Revision: b.Revision, Age: age}, nil
}

func play(t *testing.T, f func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx)
		cancel()
		time.Sleep(time.Minute)
	})
}

// A change of configuration reaches the host that watches, and through it one that doesn't, at once; the second makes no further call.
func TestChangesPassThrough(t *testing.T) {
	play(t, func(ctx context.Context) {
		w := newWorld()
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

// The history is dropped while a configuration is written: the watch that waits hears nothing and only its end tells. The change must
// still be in force within its bound.
func TestDeafWatch(t *testing.T) {
	play(t, func(ctx context.Context) {
		w := newWorld()
		watcher := w.follow(ctx, "watcher")
		child := w.follow(ctx, "child", watcher)
		time.Sleep(10*time.Second + 7*time.Millisecond)
		w.set(func() { w.deaf = true })
		time.Sleep(bound)
		w.write()
		time.Sleep(bound)
		qt.Assert(t, watcher.value(), qt.Equals, int64(2))
		qt.Assert(t, child.value(), qt.Equals, int64(2))
	})
}

// The host that others hear from is cut off from the store, or stops answering. They have to ask the store themselves before the bound
// of a change is over.
func TestParentCutOff(t *testing.T) {
	play(t, func(ctx context.Context) {
		w := newWorld()
		watcher := w.follow(ctx, "watcher")
		child := w.follow(ctx, "child", watcher)
		time.Sleep(10 * time.Second)
		w.set(func() { w.away["watcher"] = true })
		time.Sleep(time.Second)
		w.write()
		time.Sleep(bound)
		qt.Assert(t, child.value(), qt.Equals, int64(2))
	})
}

// A host starts while the store turns it away and serves the others. Its neighbours know the configuration; without them it would
// refuse every request until the store takes it again.
func TestStartWhileTurnedAway(t *testing.T) {
	play(t, func(ctx context.Context) {
		w := newWorld()
		watcher := w.follow(ctx, "watcher")
		time.Sleep(time.Second)
		w.set(func() { w.away["new"] = true })
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
