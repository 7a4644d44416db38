package source

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
)

const (
	// listTimeout bounds a list; the store answers in milliseconds, and in a third of a second when it is slow.
	listTimeout = 2 * time.Second
	// watchMargin is how long after its wait a watch may still answer; one that says nothing then sits on a silent connection.
	watchMargin = 700 * time.Millisecond
	// firstPause and mostPause bound the wait after a call that failed: each call is paid for, and a host that hears nothing for a
	// second can still apply a configuration in time.
	firstPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// returnedFor is how long after an outage what vanishes may be the outage's doing.
	returnedFor = time.Second
)

// Options configures a Follower.
type Options[T any] struct {
	Clock clock.Clock
	Log   logr.Logger
	// Name is the kind's name in logs.
	Name  string
	List  func(ctx context.Context) (feed.Batch[T], error)
	Watch func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[T], error)
	// Replace takes a list of all objects, Change those that changed; returned says that the store was away until a moment ago.
	Replace, Change func(batch feed.Batch[T], returned bool)
	// Reconnect drops the unused connections to the store.
	Reconnect func()
	// Wait is how long one watch waits. A watch may hear nothing while its history is being dropped, and tells so only at its end: the
	// wait has to be well under the time in which a change must be in force.
	Wait time.Duration
}

// Follower keeps this host in step with one kind of object.
type Follower[T any] struct {
	opts Options[T]
	// down says that the last call failed, back when calls succeeded again.
	down  bool
	back  time.Time
	pause time.Duration
}

// New returns a follower that does nothing until Run.
func New[T any](opts Options[T]) *Follower[T] { return &Follower[T]{opts: opts} }

// Run lists once and then watches until ctx ends, and lists again after whatever may have hidden a change.
func (f *Follower[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		batch, err := f.list(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.opts.Replace(batch, f.succeeded())
		f.unreadable(batch)
		f.watch(ctx, batch.Revision)
	}
}

func (f *Follower[T]) list(ctx context.Context) (feed.Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.opts.List(ctx)
}

// watch takes over changes until a watch fails.
func (f *Follower[T]) watch(ctx context.Context, since int64) {
	for ctx.Err() == nil {
		batch, err := f.wait(ctx, since)
		switch {
		case errors.Is(err, feed.ErrHistoryGone):
			events.HistoryGone.Log(f.opts.Log, "kind", f.opts.Name, "since", since)
			return
		case err != nil:
			f.failed(ctx, err)
			return
		}
		f.opts.Change(batch, f.succeeded())
		f.unreadable(batch)
		since = batch.Revision
	}
}

func (f *Follower[T]) wait(ctx context.Context, since int64) (feed.Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Wait+watchMargin)
	defer cancel()
	return f.opts.Watch(ctx, since, f.opts.Wait)
}

// failed notes an outage and waits before the next call.
func (f *Follower[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.down {
		events.PlatformDown.Log(f.opts.Log, "kind", f.opts.Name, "reason", err.Error())
	}
	f.down = true
	f.pause = min(max(firstPause, 2*f.pause), mostPause)
	f.opts.Reconnect()
	clock.Sleep(ctx, f.opts.Clock, f.pause)
}

// succeeded notes that the store answered, and reports whether it was away until a moment ago.
func (f *Follower[T]) succeeded() bool {
	now := f.opts.Clock.Now()
	if f.down {
		f.down, f.pause, f.back = false, 0, now
		events.PlatformUp.Log(f.opts.Log, "kind", f.opts.Name)
	}
	return !f.back.IsZero() && now.Sub(f.back) < returnedFor
}

func (f *Follower[T]) unreadable(batch feed.Batch[T]) {
	for _, err := range batch.Unreadable {
		events.ObjectUnreadable.Log(f.opts.Log, "kind", f.opts.Name, "reason", err.Error())
	}
}
