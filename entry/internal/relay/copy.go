package relay

import (
	"maps"
	"reflect"
	"sync"
	"time"

	"guavaspring.org/core/feed"
)

// keptBatches is how many of the newest changes are kept for hosts that are a little behind; one that lacks more gets
// everything.
const keptBatches = 64

// Options says how the objects of one kind are taken over.
type Options[T any] struct {
	// LastGood keeps what an object was while it can't be read. It is for objects that stay in force until a newer one is
	// known: a host that starts meanwhile hears the last one from here, where the store has nothing for it.
	LastGood bool
	// Older reports, by what two objects of one name say of themselves, whether got was written before held; nil means
	// that they say nothing.
	Older func(got, held T) bool
	// KeepAbsent keeps objects that the store lacks when it comes back from an older copy; they are gone otherwise, until
	// they are written again.
	KeepAbsent bool
	// KeepFor bounds how long what is known from an earlier era goes before what the store holds; zero means until the
	// object is written again.
	KeepFor time.Duration
}

// Copy is one host's copy of all objects of one kind, with how fresh it is.
type Copy[T any] struct {
	opts Options[T]

	mu      sync.Mutex
	entries map[string]feed.Entry[T]
	reached feed.Position
	// base is the revision up to which objects may be as the store's copy had them when the present era began, and began
	// the moment of that era at which this copy entered it.
	base     int64
	began    feed.Position
	retained retained[T]
	// log holds the newest changes; a host at from or later can be served from it.
	log  []feed.Batch[T]
	from feed.Position
	// ends holds the revision that was reached in each earlier era.
	ends map[int64]int64
	// confirmed is when the store was known to hold nothing newer.
	confirmed time.Time
	returned  bool
	changed   chan struct{}
	// packed holds all objects as of packedAt.
	packed   []byte
	packedAt feed.Position
}

// NewCopy returns an empty copy that was never confirmed.
func NewCopy[T any](opts Options[T]) *Copy[T] {
	return &Copy[T]{opts: opts, entries: map[string]feed.Entry[T]{}, retained: newRetained[T](), ends: map[int64]int64{}, changed: make(chan struct{})}
}

// State is what a copy is as of one moment.
type State struct {
	// Position is the moment of the store's history that the copy has reached; its revision is zero where the copy never
	// held anything.
	feed.Position
	// Confirmed is when the store was known to hold nothing newer.
	Confirmed time.Time
	// Kept is a checksum of what the copy keeps from earlier eras, zero where that is nothing.
	Kept uint64
}

// State returns how fresh the copy is, and a channel that is closed with the next change of that.
func (c *Copy[T]) State() (State, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Position: c.reached, Confirmed: c.confirmed, Kept: c.retained.sum}, c.changed
}

// Replace takes over a list of all objects as of at, and reports whether it is at least as new as the copy. A list of a
// new era doesn't undo what is known from the one before.
//
// Hosts that were in step with the copy get what the list changes, and not all of it: a host that watches the store has
// to list all objects whenever the store forgets its history, and thousands of replicas passed on to each of a thousand
// hosts take longer than what these know stays fresh.
func (c *Copy[T]) Replace(batch feed.Batch[T], at time.Time, returned bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok := c.follows(batch)
	if !ok {
		return false
	}
	restored := c.enter(to, batch.Base)
	kept := c.retained.names()
	c.expire(at)
	before := c.entries
	c.entries = make(map[string]feed.Entry[T], len(batch.Entries))
	listed := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		listed[e.Name] = true
		if e := c.merge(e, before, restored, at); !e.Deleted {
			c.entries[e.Name] = e
		}
	}
	c.keepAbsent(before, listed, restored, at)
	if c.reached.Revision == 0 {
		c.from = to
	} else {
		c.keep(feed.Batch[T]{Era: to.Era, Revision: to.Revision, Entries: c.since(before, kept, to)})
	}
	c.confirm(to, at, returned || restored)
	return true
}

// follows returns the position of a batch, and whether it is at least as new as the copy. Where the store doesn't say
// its era, it is taken for the one that is known.
func (c *Copy[T]) follows(batch feed.Batch[T]) (feed.Position, bool) {
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

// enter notes the era of a batch, and reports whether the store has come back from a copy since what is known here.
func (c *Copy[T]) enter(to feed.Position, base int64) bool {
	if base == 0 {
		base = to.Revision
	}
	known := c.reached.Revision > 0
	if known && to.Era == c.reached.Era {
		c.base = min(c.base, base)
		return false
	}
	if known {
		c.ends[c.reached.Era] = c.reached.Revision
	}
	c.base, c.began = base, to
	return known
}

// keepAbsent decides on the objects that a list lacks.
func (c *Copy[T]) keepAbsent(before map[string]feed.Entry[T], listed map[string]bool, restored bool, at time.Time) {
	for name, held := range before {
		switch kept := c.retained.holds(name); {
		case listed[name]:
		case c.opts.KeepAbsent && (restored || kept) && !held.Unreadable:
			c.entries[name] = held
			c.retained.keep(held, c.until(at, name), nil)
		case !restored:
			c.retained.forget(name)
			c.retained.ended(held, at)
		default:
			c.retained.forget(name)
		}
	}
	for _, name := range c.retained.omitted() {
		if !listed[name] {
			c.retained.forget(name)
		}
	}
}

// since returns what has changed of the objects that the copy held before, and what it kept before in place of the
// store's word: hosts in the same era may lack that.
func (c *Copy[T]) since(before map[string]feed.Entry[T], kept []string, to feed.Position) []feed.Entry[T] {
	changed := map[string]bool{}
	for name, e := range c.entries {
		if old, ok := before[name]; !ok || differ(old, e) {
			changed[name] = true
		}
	}
	for name := range before {
		if _, ok := c.entries[name]; !ok {
			changed[name] = true
		}
	}
	for _, name := range kept {
		if !c.retained.holds(name) {
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

// differ reports whether an object has changed. A revision may stand for something else in another era.
func differ[T any](old, e feed.Entry[T]) bool {
	if old.Revision != e.Revision || old.Unreadable != e.Unreadable {
		return true
	}
	return old.Era != e.Era && !reflect.DeepEqual(old.Value, e.Value)
}

// keep adds changes to the log, of which the oldest go.
func (c *Copy[T]) keep(news feed.Batch[T]) {
	if len(news.Entries) == 0 {
		return
	}
	c.log = append(c.log, news)
	if len(c.log) > keptBatches {
		c.from = c.log[0].Position()
		c.log = c.log[1:]
		maps.DeleteFunc(c.ends, func(era, _ int64) bool { return era < c.from.Era })
	}
}

// Change takes over what changed up to the batch's revision as of at. It returns what of it is news, and reports
// whether the batch is at least as new as the copy.
//
// A list is read page by page, and the changes since its first page are told again: one that is older than what a later
// page showed is no news.
func (c *Copy[T]) Change(batch feed.Batch[T], at time.Time, returned bool) (feed.Batch[T], bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok := c.follows(batch)
	if !ok {
		return feed.Batch[T]{}, false
	}
	restored := c.enter(to, batch.Base)
	news := feed.Batch[T]{Era: to.Era, Revision: to.Revision, Entries: c.expire(at)}
	for _, e := range batch.Entries {
		held, known := c.entries[e.Name]
		if known && e.Position().Before(held.Position()) || e.Unreadable && c.opts.LastGood {
			continue
		}
		if e = c.merge(e, c.entries, restored, at); c.retained.holds(e.Name) {
			continue
		}
		news.Entries = append(news.Entries, e)
		c.put(e)
	}
	c.keep(news)
	c.confirm(to, at, returned || restored)
	return news, true
}

// put takes over one entry.
func (c *Copy[T]) put(e feed.Entry[T]) {
	if e.Deleted {
		delete(c.entries, e.Name)
		return
	}
	c.entries[e.Name] = e
}

func (c *Copy[T]) confirm(to feed.Position, at time.Time, returned bool) {
	c.reached, c.returned = to, returned
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	c.wake()
}

func (c *Copy[T]) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Since returns what a host at a position lacks, and whether that is everything there is.
func (c *Copy[T]) Since(position feed.Position) (batch feed.Batch[T], full, returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch.Era, batch.Revision, batch.Base = c.reached.Era, c.reached.Revision, c.base
	if !c.logged(position) {
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

// logged reports whether the log holds all that a host at a position lacks. In an earlier era that host may have seen
// what this copy never did.
func (c *Copy[T]) logged(position feed.Position) bool {
	if position.Revision == 0 || position.Before(c.from) {
		return false
	}
	if position.Era >= c.reached.Era {
		return !position.Before(c.began)
	}
	end, ok := c.ends[position.Era]
	return ok && position.Revision <= end && !c.opts.KeepAbsent
}

// pack returns all objects in packed form. It is kept until the next change: when a fleet starts, a hundred hosts ask
// for the same.
func (c *Copy[T]) pack(all feed.Batch[T]) ([]byte, error) {
	c.mu.Lock()
	packed, at := c.packed, c.packedAt
	c.mu.Unlock()
	if packed != nil && at == all.Position() {
		return packed, nil
	}
	packed, err := pack(all.Entries)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packed, c.packedAt = packed, all.Position()
	return packed, nil
}
