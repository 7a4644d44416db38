package source

import (
	"context"
	"errors"
	"time"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/relay"
)

const (
	// eraConsults is the number of times that a host that read a new restart era from the store asks other hosts for the
	// entries that they retain from earlier eras. These hosts enter the new era within one or two watches.
	eraConsults = 4
	// consultIn is the time limit of one such round of requests.
	consultIn = 300 * time.Millisecond
)

// keptSum is the checksum of the entries that a host retains from earlier eras, as received with its last reply.
type keptSum struct {
	host string
	sum  uint64
}

// of returns the checksum received from host, or zero if there is none.
func (s keptSum) of(host string) uint64 {
	if s.host != host {
		return 0
	}
	return s.sum
}

// noteEra compares the era of the copy with that before an update. In a new era, or after the first update, it logs the
// era and resets the state that belongs to the old one. It reports whether the store was restored from a backup since
// before.
func (f *Follower[T]) noteEra(from string, before relay.State) bool {
	f.older = false
	after, _ := f.opts.Copy.State()
	if after.Era == before.Era && before.Revision > 0 {
		return false
	}
	f.received = keptSum{}
	f.consults = 0
	if from == fromStore {
		f.consults = eraConsults
	}
	f.opts.Outage.enter(after.Era)
	f.rejects.forget()
	kept, _ := f.opts.Copy.Kept()
	events.StoreEra.Log(f.opts.Log, "kind", f.opts.Name, "from", from, "era", after.Era, "revision", after.Revision, "known_era", before.Era, "known", before.Revision, "kept", len(kept))
	return before.Revision > 0
}

// noteUnsaid logs a reply of the store without an era, once until a reply has one: a restore from a backup is not
// detected meanwhile.
func (f *Follower[T]) noteUnsaid(era int64) {
	if era == 0 && !f.unsaid {
		st, _ := f.opts.Copy.State()
		events.EraUnsaid.Log(f.opts.Log, "kind", f.opts.Name, "known_era", st.Era)
	}
	f.unsaid = era == 0
}

// errEraOver means that the store was restored from a backup since the revision to watch from.
var errEraOver = errors.New("source: another kind of object was read in a newer era of the store")

// watchInEra watches the store until another follower of this host enters a newer era. All kinds have to be listed at
// once then: an object written before the list of its kind can't be told apart from one of the backup.
func (f *Follower[T]) watchInEra(ctx context.Context, st relay.State, wait time.Duration) (feed.Batch[T], error) {
	newest, entered := f.opts.Outage.newestEra()
	if newest > st.Era {
		return feed.Batch[T]{}, errEraOver
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-entered:
			cancel(errEraOver)
		case <-ctx.Done():
		}
	}()
	batch, err := f.opts.Watch(ctx, st.Revision, wait)
	if cause := context.Cause(ctx); errors.Is(cause, errEraOver) {
		return feed.Batch[T]{}, cause
	}
	return batch, err
}

// mergeKept merges the entries that another host retains from earlier eras.
func (f *Follower[T]) mergeKept(from string, rep relay.Reply[T]) {
	f.received = keptSum{host: from, sum: rep.KeptSum}
	if len(rep.Kept) == 0 {
		return
	}
	news := f.opts.Copy.Merge(rep.Kept, f.opts.Clock.Now())
	events.KeptTaken.Log(f.opts.Log, "kind", f.opts.Name, "from", from, "era", rep.Era, "kept", len(rep.Kept), "news", len(news.Entries))
	if len(news.Entries) > 0 {
		f.opts.Change(news, true)
	}
}

// consult asks other hosts for the entries that they retain from earlier eras.
//
// A host that has just started and reads the store itself has only the objects of the backup. Hosts that ask a parent
// receive the rest with its replies; those that watch the store ask nobody else.
func (f *Follower[T]) consult(ctx context.Context) {
	if f.consults == 0 {
		return
	}
	f.consults--
	ctx, cancel := context.WithTimeout(ctx, consultIn)
	defer cancel()
	for _, p := range f.opts.Others() {
		st, _ := f.opts.Copy.State()
		rep, err := p.Ask(ctx, relay.Args{Since: st.Revision, Era: st.Era, Kept: f.received.of(p.Name)})
		if err == nil && rep.Era == st.Era {
			f.mergeKept(p.Name, rep)
		}
	}
}
