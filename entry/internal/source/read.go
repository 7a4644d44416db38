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
	defer func() { f.lastCall = f.opts.Clock.Now() }()
	f.recoveries = f.opts.Outage.recoveryCount()
	if !f.watchable || f.stale() {
		f.list(ctx)
		return
	}
	f.fetchRetained(ctx)
	f.watch(ctx)
}

func (f *Follower[T]) list(ctx context.Context) {
	began := f.opts.Clock.Now()
	call, cancel := context.WithTimeout(ctx, min(scale(listTimeoutRatio, f.opts.Bound), maxListTimeout))
	defer cancel()
	batch, err := f.opts.List(call)
	if err != nil {
		f.recordFailure(ctx, err)
		return
	}
	f.watchable = true
	f.checkEraMissing(batch.Era)
	returned := f.recordSuccess()
	if newest, _ := f.opts.Outage.newestEra(); batch.Era != 0 && batch.Era < newest {
		f.reportOlder(fromStore, batch)
		f.updateOlderBackoff(false)
		return
	}
	f.updateOlderBackoff(f.replace(fromStore, batch, began, returned))
	f.rejects.Report(batch.Rejected)
}

func (f *Follower[T]) watch(ctx context.Context) {
	st, _ := f.opts.Copy.State()
	wait := f.watchWait()
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	began := f.opts.Clock.Now()
	batch, err := f.watchInEra(call, st, wait)
	switch {
	case errors.Is(err, errEraEnded):
		f.watchable = false
	case errors.Is(err, feed.ErrCompacted):
		events.HistoryGone.Log(f.opts.Log, "kind", f.opts.Name, "since", st.Revision)
		f.watchable = false
	case err == nil && batch.Era > st.Era:
		// In the new era the revision to watch from stands for another state of the store.
		f.watchable = false
	case err != nil:
		f.watchable = false
		f.recordFailure(ctx, err)
	default:
		now := f.opts.Clock.Now()
		f.checkEraMissing(batch.Era)
		f.updateOlderBackoff(f.change(fromStore, batch, now, f.recordSuccess()))
		f.rejects.Report(batch.Rejected)
		f.delayNextWatch(ctx, now.Sub(began))
	}
}

// watchWait returns the wait of one watch, short enough to list all objects in time after a lost watch. The first watch
// after a start waits less: the copies of the other hosts are as old as the list before it, and each host would call
// the store before a reply confirms that nothing has changed.
func (f *Follower[T]) watchWait() time.Duration {
	maxWait := max(scale(relistRatio, f.opts.Bound), scale(staleRatio-relistRatio, f.opts.Bound)-watchMargin)
	return max(0, min(scale(watchWaitRatio, f.opts.Bound), maxWait, f.freshFor()-confirmDelay))
}

// recordFailure records a failed call, which starts a backoff.
func (f *Follower[T]) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.down {
		events.PlatformDown.Log(f.opts.Log, "kind", f.opts.Name, "reason", err.Error())
	}
	f.down = true
	f.opts.Outage.recordFailure(f.opts.Clock.Now())
	f.backoff = min(max(minBackoff, 2*f.backoff), maxBackoff)
	f.opts.Reconnect()
}

// recordSuccess records a successful call, and reports whether the store recovered from an outage a moment ago.
func (f *Follower[T]) recordSuccess() bool {
	now := f.opts.Clock.Now()
	_, failing := f.opts.Outage.failedAt()
	if f.down || failing {
		f.down, f.backoff, f.recoveredAt = false, 0, now
		f.opts.Outage.recordRecovery()
		events.PlatformUp.Log(f.opts.Log, "kind", f.opts.Name)
	}
	return !f.recoveredAt.IsZero() && now.Sub(f.recoveredAt) < recoveryWindow
}
