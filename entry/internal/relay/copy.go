package relay

import (
	"maps"
	"reflect"
	"sync"
	"time"

	"guavaspring.org/core/feed"
)

// maxLogBatches is the number of latest batches of changes kept for hosts that are slightly behind. A host that lacks
// more gets a full list.
const maxLogBatches = 64

// Options configures how a Copy handles the objects of one kind.
type Options[T any] struct {
	// LastGood keeps the last readable version of an object while the stored one is unreadable, for objects that stay
	// in force until they are replaced. A host that starts meanwhile gets that version from here, as the store has
	// none.
	LastGood bool
	// Older reports whether got was written before held, by values in the objects themselves. It is nil if they have no
	// such values.
	Older func(got, held T) bool
	// KeepAbsent retains objects that are missing after the store was restored from a backup. Otherwise they are
	// dropped until they are written again.
	KeepAbsent bool
	// KeepFor is how long a version retained from an earlier era overrides the stored one; zero means until the object
	// is written again.
	KeepFor time.Duration
}

// Copy is one host's copy of all objects of one kind and its freshness.
type Copy[T any] struct {
	opts Options[T]

	mu      sync.Mutex
	entries map[string]feed.Entry[T]
	reached feed.Position
	// base is the revision up to which objects may be as restored from the backup that the current era began with, and
	// eraStart is the position at which this copy entered the era.
	base     int64
	eraStart feed.Position
	retained retained[T]
	// log holds the latest changes. A host at position logStart or later can be served from it.
	log      []feed.Batch[T]
	logStart feed.Position
	// eraEnds holds the last revision reached in each earlier era.
	eraEnds map[int64]int64
	// confirmed is when the copy was last known to be up to date with the store.
	confirmed time.Time
	returned  bool
	changed   chan struct{}
	// packed caches the compressed list of all objects as of packedAt.
	packed   []byte
	packedAt feed.Position
}

// NewCopy returns an empty, unconfirmed copy.
func NewCopy[T any](opts Options[T]) *Copy[T] {
	return &Copy[T]{opts: opts, entries: map[string]feed.Entry[T]{}, retained: newRetained[T](), eraEnds: map[int64]int64{}, changed: make(chan struct{})}
}

// State is a snapshot of the freshness of a Copy.
type State struct {
	// Position is the position in the store's history that the copy has reached. Its revision is zero if the copy has
	// never been filled.
	feed.Position
	// Confirmed is when the copy was last known to be up to date with the store.
	Confirmed time.Time
	// Kept is a checksum of the objects retained from earlier eras, zero if there are none.
	Kept uint64
}

// State returns the state of the copy, and a channel that is closed when it next changes.
func (c *Copy[T]) State() (State, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Position: c.reached, Confirmed: c.confirmed, Kept: c.retained.sum}, c.changed
}

// ApplyList replaces the objects by a list of all of them read at time at, and reports whether that list is at least as
// new as the copy. A list of a new era doesn't override newer versions known from the previous era.
//
// Hosts that are up to date with the copy get only the differences. A watching host has to list all objects whenever
// the store drops its history, and sending thousands of replicas to each of a thousand hosts takes longer than their
// copies stay fresh.
func (c *Copy[T]) ApplyList(batch feed.Batch[T], at time.Time, returned bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok := c.positionOf(batch)
	if !ok {
		return false
	}
	restored := c.enterEra(to, batch.Base)
	kept := c.retained.names()
	c.dropExpired(at)
	before := c.entries
	c.entries = make(map[string]feed.Entry[T], len(batch.Entries))
	listed := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		listed[e.Name] = true
		if e := c.merge(e, before, restored, at); !e.Deleted {
			c.entries[e.Name] = e
		}
	}
	c.retainAbsent(before, listed, restored, at)
	if c.reached.Revision == 0 {
		c.logStart = to
	} else {
		c.appendLog(feed.Batch[T]{Era: to.Era, Revision: to.Revision, Entries: c.differences(before, kept, to)})
	}
	c.confirm(to, at, returned || restored)
	return true
}

// positionOf returns the position of a batch, and whether it is at least as new as the copy. If the store doesn't send
// its era, the batch counts as of the current one.
func (c *Copy[T]) positionOf(batch feed.Batch[T]) (feed.Position, bool) {
	to := batch.Position()
	if to.Era == 0 {
		to.Era = c.reached.Era
	}
	for i := range batch.Entries {
		if batch.Entries[i].Era == 0 {
			batch.Entries[i].Era = to.Era
		}
	}
	return to, !to.Before(c.reached)
}

// enterEra records the era of a batch, and reports whether the store was restored from a backup since the last one.
func (c *Copy[T]) enterEra(to feed.Position, base int64) bool {
	if base == 0 {
		base = to.Revision
	}
	known := c.reached.Revision > 0
	if known && to.Era == c.reached.Era {
		c.base = min(c.base, base)
		return false
	}
	if known {
		c.eraEnds[c.reached.Era] = c.reached.Revision
	}
	c.base, c.eraStart = base, to
	return known
}

// retainAbsent retains or drops the objects that are missing in a list.
func (c *Copy[T]) retainAbsent(before map[string]feed.Entry[T], listed map[string]bool, restored bool, at time.Time) {
	for name, held := range before {
		switch kept := c.retained.isKept(name); {
		case listed[name]:
		case c.opts.KeepAbsent && (restored || kept) && !held.Unreadable:
			c.entries[name] = held
			c.retained.keep(held, c.expiryOf(at, name), nil)
		case !restored:
			c.retained.remove(name)
			c.retained.addTombstone(held, at)
		default:
			c.retained.remove(name)
		}
	}
	for _, name := range c.retained.hiddenNames() {
		if !listed[name] {
			c.retained.remove(name)
		}
	}
}

// differences returns the differences to the objects held before. It includes objects that were retained before and no
// longer are, as other hosts in the same era may lack their stored versions.
func (c *Copy[T]) differences(before map[string]feed.Entry[T], kept []string, to feed.Position) []feed.Entry[T] {
	changed := map[string]bool{}
	for name, e := range c.entries {
		if old, ok := before[name]; !ok || entryChanged(old, e) {
			changed[name] = true
		}
	}
	for name := range before {
		if _, ok := c.entries[name]; !ok {
			changed[name] = true
		}
	}
	for _, name := range kept {
		if !c.retained.isKept(name) {
			changed[name] = true
		}
	}
	list := make([]feed.Entry[T], 0, len(changed))
	for name := range changed {
		e, ok := c.entries[name]
		if !ok {
			e = feed.Entry[T]{Name: name, Era: to.Era, Revision: to.Revision, Deleted: true}
		}
		list = append(list, e)
	}
	return list
}

// entryChanged reports whether an object has changed. The same revision may be a different version in another era.
func entryChanged[T any](old, e feed.Entry[T]) bool {
	if old.Revision != e.Revision || old.Unreadable != e.Unreadable {
		return true
	}
	return old.Era != e.Era && !reflect.DeepEqual(old.Value, e.Value)
}

// appendLog appends changes to the log and drops the oldest if it is full.
func (c *Copy[T]) appendLog(changes feed.Batch[T]) {
	if len(changes.Entries) == 0 {
		return
	}
	c.log = append(c.log, changes)
	if len(c.log) > maxLogBatches {
		c.logStart = c.log[0].Position()
		c.log = c.log[1:]
		maps.DeleteFunc(c.eraEnds, func(era, _ int64) bool { return era < c.logStart.Era })
	}
}

// ApplyChanges applies the changes up to the batch's revision, read at time at. It returns those that took effect, and
// reports whether the batch is at least as new as the copy.
//
// A list is read in pages and followed by the changes since its first page. A change that is older than the version on
// a later page has no effect.
func (c *Copy[T]) ApplyChanges(batch feed.Batch[T], at time.Time, returned bool) (feed.Batch[T], bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok := c.positionOf(batch)
	if !ok {
		return feed.Batch[T]{}, false
	}
	restored := c.enterEra(to, batch.Base)
	changes := feed.Batch[T]{Era: to.Era, Revision: to.Revision, Entries: c.dropExpired(at)}
	for _, e := range batch.Entries {
		held, known := c.entries[e.Name]
		if known && e.Position().Before(held.Position()) || e.Unreadable && c.opts.LastGood {
			continue
		}
		if e = c.merge(e, c.entries, restored, at); c.retained.isKept(e.Name) {
			continue
		}
		changes.Entries = append(changes.Entries, e)
		c.put(e)
	}
	c.appendLog(changes)
	c.confirm(to, at, returned || restored)
	return changes, true
}

// put stores an entry, or removes its object if the entry is deleted.
func (c *Copy[T]) put(e feed.Entry[T]) {
	if e.Deleted {
		delete(c.entries, e.Name)
		return
	}
	c.entries[e.Name] = e
}

// confirm records that the copy was up to date with the store at time at, and notifies waiting callers.
func (c *Copy[T]) confirm(to feed.Position, at time.Time, returned bool) {
	c.reached, c.returned = to, returned
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	c.notify()
}

// notify notifies the callers that wait for a change of the state.
func (c *Copy[T]) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Since returns the entries that a host at a position lacks, and whether these are all objects.
func (c *Copy[T]) Since(position feed.Position) (batch feed.Batch[T], full, returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch.Era, batch.Revision, batch.Base = c.reached.Era, c.reached.Revision, c.base
	if !c.logCovers(position) {
		for _, e := range c.entries {
			batch.Entries = append(batch.Entries, e)
		}
		return batch, true, c.returned
	}
	for _, b := range c.log {
		if position.Before(b.Position()) {
			batch.Entries = append(batch.Entries, b.Entries...)
		}
	}
	return batch, false, c.returned
}

// logCovers reports whether the log holds all changes that a host at a position lacks. A host in an earlier era may
// have changes of that era that this copy never received.
func (c *Copy[T]) logCovers(position feed.Position) bool {
	if position.Revision == 0 || position.Before(c.logStart) {
		return false
	}
	if position.Era >= c.reached.Era {
		return !position.Before(c.eraStart)
	}
	end, ok := c.eraEnds[position.Era]
	return ok && position.Revision <= end && !c.opts.KeepAbsent
}

// pack returns all objects in compressed form. The result is cached until the next change, as a hundred hosts request
// it when a fleet starts.
func (c *Copy[T]) pack(all feed.Batch[T]) ([]byte, error) {
	c.mu.Lock()
	packed, at := c.packed, c.packedAt
	c.mu.Unlock()
	if packed != nil && at == all.Position() {
		return packed, nil
	}
	packed, err := packEntries(all.Entries)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packed, c.packedAt = packed, all.Position()
	return packed, nil
}
