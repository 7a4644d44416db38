package source

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/relay"
)

// askParent asks one parent for changes, with a timeout of at most within. The next call asks another one if this one
// hangs, is behind, or confirms nothing.
func (f *Follower[T]) askParent(ctx context.Context, parents []Parent[T], within time.Duration) {
	parent := parents[f.nextParent%len(parents)]
	before, _ := f.opts.Copy.State()
	timeout := min(max(f.freshFor(), staleAskTimeout), within)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wait := max(0, timeout-askMargin)
	began := f.opts.Clock.Now()
	rep, err := parent.Ask(ctx, relay.Args{Since: before.Revision, Era: before.Era, Kept: f.parentChecksum.forHost(parent.Name), Wait: wait})
	if err == nil && rep.Age >= 0 && !rep.Batch().Position().Before(before.Position) {
		f.applyReply(parent.Name, rep, began)
	}
	after, _ := f.opts.Copy.State()
	switch {
	case err == nil && after.Confirmed.After(before.Confirmed):
		f.failedAsks = 0
		return
	case err == nil && rep.Age >= 0 && f.opts.Clock.Now().Sub(began) < wait:
		// An early reply with changes that this host has read itself meanwhile is no failure.
		return
	}
	f.nextParent++
	f.failedAsks++
	if err != nil && ctx.Err() == nil {
		events.ParentLost.Log(f.opts.Log, "kind", f.opts.Name, "host", parent.Name, "reason", err.Error())
		if f.down {
			// Nothing else limits the rate here during a backoff: parents that fail at once would be asked without pause.
			clock.Sleep(ctx, f.opts.Clock, min(wait, minBackoff))
		}
	}
}

// applyReply applies the reply of a host that was asked at began. The age of the reply counts from the earliest moment
// at which it may have been sent: hosts that ask each other would otherwise keep confirming each other's copies by the
// travel time of their messages.
func (f *Follower[T]) applyReply(from string, rep relay.Reply[T], began time.Time) {
	at := began.Add(rep.Held - rep.Age)
	f.watchable = true
	applied := false
	if rep.Full {
		applied = f.replace(from, rep.Batch(), at, rep.Returned)
	} else {
		applied = f.change(from, rep.Batch(), at, rep.Returned)
	}
	if applied {
		f.mergeRetained(from, rep)
	}
}

// replace applies a list of all objects, and reports whether it was new enough.
func (f *Follower[T]) replace(from string, batch feed.Batch[T], at time.Time, returned bool) bool {
	before, _ := f.opts.Copy.State()
	if !f.opts.Copy.ApplyList(batch, at, returned) {
		f.reportOlder(from, batch)
		return false
	}
	restored := f.checkEra(from, before)
	all, _, _ := f.opts.Copy.Since(feed.Position{})
	f.opts.Replace(all, returned || restored)
	return true
}

// change applies changes, and reports whether they were new enough.
func (f *Follower[T]) change(from string, batch feed.Batch[T], at time.Time, returned bool) bool {
	before, _ := f.opts.Copy.State()
	changes, ok := f.opts.Copy.ApplyChanges(batch, at, returned)
	if !ok {
		f.reportOlder(from, batch)
		return false
	}
	restored := f.checkEra(from, before)
	if len(changes.Entries) > 0 {
		f.opts.Change(changes, returned || restored)
	}
	return true
}

// reportOlder counts a reply that is older than the copy and was not applied, and logs the first in a row.
func (f *Follower[T]) reportOlder(from string, batch feed.Batch[T]) {
	f.opts.Older()
	if !f.lastOlder {
		st, _ := f.opts.Copy.State()
		events.AnswerOlder.Log(f.opts.Log, "kind", f.opts.Name, "from", from, "revision", batch.Revision, "known", st.Revision, "era", batch.Era, "known_era", st.Era)
	}
	f.lastOlder = true
}
