package source

import (
	"context"
	"errors"
	"time"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
)

// read makes one call to the store: a list if the copy is empty, stale or may lack changes, a watch otherwise.
func (f *Follower[T]) read(ctx context.Context) {
	defer func() { f.tried = f.opts.Clock.Now() }()
	f.returns = f.opts.Outage.returnCount()
	if !f.listed || f.stale() {
		f.list(ctx)
		return
	}
	f.consult(ctx)
	f.watch(ctx)
}

func (f *Follower[T]) list(ctx context.Context) {
	began := f.opts.Clock.Now()
	call, cancel := context.WithTimeout(ctx, min(part(listPart, f.opts.Bound), mostList))
	defer cancel()
	batch, err := f.opts.List(call)
	if err != nil {
		f.lost(ctx, err)
		return
	}
	f.listed = true
	f.noteUnsaid(batch.Era)
	returned := f.succeeded()
	if newest, _ := f.opts.Outage.newestEra(); batch.Era != 0 && batch.Era < newest {
		f.noteOlder(fromStore, batch)
		f.backOff(false)
		return
	}
	f.backOff(f.replace(fromStore, batch, began, returned))
	f.rejects.report(batch.Rejected)
}

func (f *Follower[T]) watch(ctx context.Context) {
	st, _ := f.opts.Copy.State()
	wait := f.watchWait()
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	began := f.opts.Clock.Now()
	batch, err := f.watchInEra(call, st, wait)
	switch {
	case errors.Is(err, errEraOver):
		f.listed = false
	case errors.Is(err, feed.ErrHistoryGone):
		events.HistoryGone.Log(f.opts.Log, "kind", f.opts.Name, "since", st.Revision)
		f.listed = false
	case err == nil && batch.Era > st.Era:
		// In the new era the revision to watch from stands for another state of the store.
		f.listed = false
	case err != nil:
		f.listed = false
		f.lost(ctx, err)
	default:
		now := f.opts.Clock.Now()
		f.noteUnsaid(batch.Era)
		f.backOff(f.change(fromStore, batch, now, f.succeeded()))
		f.rejects.report(batch.Rejected)
		f.putOff(ctx, now.Sub(began))
	}
}

// watchWait returns the wait of one watch, short enough to list all objects in time after a lost watch. The first watch
// after a start waits less: the copies of the other hosts are as old as the list before it, and each host would call
// the store before a reply confirms that nothing has changed.
func (f *Follower[T]) watchWait() time.Duration {
	most := max(part(leadPart, f.opts.Bound), part(stalePart-leadPart, f.opts.Bound)-watchMargin)
	return max(0, min(part(waitPart, f.opts.Bound), most, f.left()-confirmIn))
}

// lost records a failed call, which starts a backoff.
func (f *Follower[T]) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.down {
		events.PlatformDown.Log(f.opts.Log, "kind", f.opts.Name, "reason", err.Error())
	}
	f.down = true
	f.opts.Outage.lost(f.opts.Clock.Now())
	f.pause = min(max(firstPause, 2*f.pause), hearPause)
	f.opts.Reconnect()
}

// succeeded records a successful call, and reports whether the store recovered from an outage a moment ago.
func (f *Follower[T]) succeeded() bool {
	now := f.opts.Clock.Now()
	_, away := f.opts.Outage.failedAt()
	if f.down || away {
		f.down, f.pause, f.back = false, 0, now
		f.opts.Outage.over()
		events.PlatformUp.Log(f.opts.Log, "kind", f.opts.Name)
	}
	return !f.back.IsZero() && now.Sub(f.back) < returnedFor
}
