package source

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/relay"
)

// hear asks one parent for what is new, within a time. One that is silent, behind, or without news of the store is
// passed over next time.
func (f *Follower[T]) hear(ctx context.Context, parents []Parent[T], within time.Duration) {
	parent := parents[f.next%len(parents)]
	before, _ := f.opts.Copy.State()
	left := min(max(f.left(), staleAsk), within)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	wait := max(0, left-askMargin)
	began := f.opts.Clock.Now()
	rep, err := parent.Ask(ctx, relay.Args{Since: before.Revision, Era: before.Era, Kept: f.received.of(parent.Name), Wait: wait})
	if err == nil && rep.Age >= 0 && !rep.Batch().Position().Before(before.Position) {
		f.heard(parent.Name, rep, began)
	}
	after, _ := f.opts.Copy.State()
	switch {
	case err == nil && after.Confirmed.After(before.Confirmed):
		f.failed = 0
		return
	case err == nil && rep.Age >= 0 && f.opts.Clock.Now().Sub(began) < wait:
		// It answered before its time was over, with what this host had read itself meanwhile.
		return
	}
	f.next++
	f.failed++
	if err != nil && ctx.Err() == nil {
		events.ParentLost.Log(f.opts.Log, "kind", f.opts.Name, "host", parent.Name, "reason", err.Error())
		if f.down {
			// It failed at once, and the store rests: without a wait the parents would be called without end.
			clock.Sleep(ctx, f.opts.Clock, min(wait, firstPause))
		}
	}
}

// heard takes over the reply of a host that was asked at began. Its age counts from the earliest moment at which it may
// have left: hosts that hear from each other would confirm each other otherwise, by the time that messages take.
func (f *Follower[T]) heard(from string, rep relay.Reply[T], began time.Time) {
	at := began.Add(rep.Held - rep.Age)
	f.listed = true
	taken := false
	if rep.Full {
		taken = f.replace(from, rep.Batch(), at, rep.Returned)
	} else {
		taken = f.change(from, rep.Batch(), at, rep.Returned)
	}
	if taken {
		f.mergeKept(from, rep)
	}
}

// replace takes over a list, and reports whether it was new enough.
func (f *Follower[T]) replace(from string, batch feed.Batch[T], at time.Time, returned bool) bool {
	before, _ := f.opts.Copy.State()
	if !f.opts.Copy.Replace(batch, at, returned) {
		f.noteOlder(from, batch)
		return false
	}
	restored := f.noteEra(from, before)
	all, _, _ := f.opts.Copy.Since(feed.Position{})
	f.opts.Replace(all, returned || restored)
	return true
}

// change takes over changes, and reports whether they were new enough.
func (f *Follower[T]) change(from string, batch feed.Batch[T], at time.Time, returned bool) bool {
	before, _ := f.opts.Copy.State()
	news, ok := f.opts.Copy.Change(batch, at, returned)
	if !ok {
		f.noteOlder(from, batch)
		return false
	}
	restored := f.noteEra(from, before)
	if len(news.Entries) > 0 {
		f.opts.Change(news, returned || restored)
	}
	return true
}

// noteOlder logs and counts an answer that was refused for its age.
func (f *Follower[T]) noteOlder(from string, batch feed.Batch[T]) {
	f.opts.Older()
	if !f.older {
		st, _ := f.opts.Copy.State()
		events.AnswerOlder.Log(f.opts.Log, "kind", f.opts.Name, "from", from, "revision", batch.Revision, "known", st.Revision, "era", batch.Era, "known_era", st.Era)
	}
	f.older = true
}
