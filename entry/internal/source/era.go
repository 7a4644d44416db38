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
	// maxRetainedFetches is the number of times that a host that read a new restart era from the store asks other hosts
	// for the entries that they retain from earlier eras. These hosts enter the new era within one or two watches.
	maxRetainedFetches = 4
	// retainedFetchTimeout is the time limit of one such round of requests.
	retainedFetchTimeout = 300 * time.Millisecond
)

// retainedChecksum is the checksum of the entries that a host retains from earlier eras, as received with its last
// reply.
type retainedChecksum struct {
	host string
	sum  uint64
}

// forHost returns the checksum received from host, or zero if there is none.
func (s retainedChecksum) forHost(host string) uint64 {
	if s.host != host {
		return 0
	}
	return s.sum
}

// checkEra compares the era of the copy with that before an update. In a new era, or after the first update, it logs
// the era and resets the state that belongs to the old one. It reports whether the store was restored from a backup
// since before.
func (f *Follower[T]) checkEra(from string, before relay.State) bool {
	f.lastOlder = false
	after, _ := f.opts.Copy.State()
	if after.Era == before.Era && before.Revision > 0 {
		return false
	}
	f.parentChecksum = retainedChecksum{}
	f.retainedFetches = 0
	if from == fromStore {
		f.retainedFetches = maxRetainedFetches
	}
	f.opts.Outage.enterEra(after.Era)
	f.rejects.Forget()
	kept, _ := f.opts.Copy.Retained()
	events.StoreEra.Log(f.opts.Log, "kind", f.opts.Name, "from", from, "era", after.Era, "revision", after.Revision, "known_era", before.Era, "known", before.Revision, "kept", len(kept))
	return before.Revision > 0
}

// checkEraMissing logs a reply of the store without an era, once until a reply has one: a restore from a backup is not
// detected meanwhile.
func (f *Follower[T]) checkEraMissing(era int64) {
	if era == 0 && !f.eraMissing {
		st, _ := f.opts.Copy.State()
		events.StoreEraMissing.Log(f.opts.Log, "kind", f.opts.Name, "known_era", st.Era)
	}
	f.eraMissing = era == 0
}

// errEraEnded means that the store was restored from a backup since the revision to watch from.
var errEraEnded = errors.New("source: another kind of object was read in a newer era of the store")

// watchInEra watches the store until another follower of this host enters a newer era. All kinds have to be listed at
// once then: an object written before the list of its kind can't be told apart from one of the backup.
func (f *Follower[T]) watchInEra(ctx context.Context, st relay.State, wait time.Duration) (feed.Batch[T], error) {
	newest, entered := f.opts.Outage.newestEra()
	if newest > st.Era {
		return feed.Batch[T]{}, errEraEnded
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-entered:
			cancel(errEraEnded)
		case <-ctx.Done():
		}
	}()
	batch, err := f.opts.Watch(ctx, st.Revision, wait)
	if cause := context.Cause(ctx); errors.Is(cause, errEraEnded) {
		return feed.Batch[T]{}, cause
	}
	return batch, err
}

// mergeRetained merges the entries that another host retains from earlier eras.
func (f *Follower[T]) mergeRetained(from string, rep relay.Reply[T]) {
	f.parentChecksum = retainedChecksum{host: from, sum: rep.KeptSum}
	if len(rep.Kept) == 0 {
		return
	}
	changes := f.opts.Copy.MergeRetained(rep.Kept, f.opts.Clock.Now())
	events.RetainedApplied.Log(f.opts.Log, "kind", f.opts.Name, "from", from, "era", rep.Era, "kept", len(rep.Kept), "news", len(changes.Entries))
	if len(changes.Entries) > 0 {
		f.opts.Change(changes, true)
	}
}

// fetchRetained asks other hosts for the entries that they retain from earlier eras.
//
// A host that has just started and reads the store itself has only the objects of the backup. Hosts that ask a parent
// receive the rest with its replies; those that watch the store ask nobody else.
func (f *Follower[T]) fetchRetained(ctx context.Context) {
	if f.retainedFetches == 0 {
		return
	}
	f.retainedFetches--
	ctx, cancel := context.WithTimeout(ctx, retainedFetchTimeout)
	defer cancel()
	for _, p := range f.opts.Others() {
		st, _ := f.opts.Copy.State()
		rep, err := p.Ask(ctx, relay.Args{Since: st.Revision, Era: st.Era, Kept: f.parentChecksum.forHost(p.Name)})
		if err == nil && rep.Era == st.Era {
			f.mergeRetained(p.Name, rep)
		}
	}
}
