package source

import (
	"context"
	"errors"
	"time"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
)

// read makes one call to the store: a list where nothing is known or what is known may have a hole, a watch otherwise.
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
		// The revision that was watched from stands for another moment now.
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

// watchWait returns how long one watch waits: so long that its loss is known in time to read all again. The first one
// after a start ends sooner: what the hosts below heard is as old as the list that was read before, and each would ask
// the store itself before it hears that nothing has changed.
func (f *Follower[T]) watchWait() time.Duration {
	most := max(part(leadPart, f.opts.Bound), part(stalePart-leadPart, f.opts.Bound)-watchMargin)
	return max(0, min(part(waitPart, f.opts.Bound), most, f.left()-confirmIn))
}

// lost notes an outage, after which the store is left alone for a while.
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

// succeeded notes that the store answered, and reports whether it was away until a moment ago.
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
