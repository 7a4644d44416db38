package relay

import (
	"sync"
	"time"

	"guavaspring.org/core/feed"
)

// keptBatches is how many of the newest changes are kept for hosts that are a little behind; one that lacks more gets
// everything.
const keptBatches = 64

// Copy is one host's copy of all objects of one kind, with how fresh it is.
type Copy[T any] struct {
	mu       sync.Mutex
	entries  map[string]feed.Entry[T]
	revision int64
	// log holds the newest changes; a host at revision from or later can be served from it.
	log  []feed.Batch[T]
	from int64
	// confirmed is when the store was known to hold nothing newer.
	confirmed time.Time
	returned  bool
	changed   chan struct{}
	// packed holds all objects as of packedAt.
	packed   []byte
	packedAt int64
	// lastGood says that an object that became unreadable is kept as it was.
	lastGood bool
}

// NewCopy returns an empty copy that was never confirmed.
func NewCopy[T any]() *Copy[T] {
	return &Copy[T]{entries: map[string]feed.Entry[T]{}, changed: make(chan struct{})}
}

// NewLastGoodCopy returns a copy that keeps what an object was while it can't be read. It is for objects that stay in
// force until a newer one is known: a host that starts meanwhile hears the last one from here, where the store has
// nothing for it.
func NewLastGoodCopy[T any]() *Copy[T] {
	c := NewCopy[T]()
	c.lastGood = true
	return c
}

// State is what a copy is as of one moment.
type State struct {
	// Revision is the store's revision that the copy has reached, zero where it never held anything.
	Revision int64
	// Confirmed is when the store was known to hold nothing newer.
	Confirmed time.Time
}

// State returns how fresh the copy is, and a channel that is closed with the next change of that.
func (c *Copy[T]) State() (State, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Revision: c.revision, Confirmed: c.confirmed}, c.changed
}

// Replace takes over a list of all objects as of at, and reports whether it is at least as new as the copy.
//
// Hosts that were in step with the copy get what the list changes, and not all of it: a host that watches the store has
// to list all objects whenever the store forgets its history, and thousands of replicas passed on to each of a thousand
// hosts take longer than what these know stays fresh.
func (c *Copy[T]) Replace(batch feed.Batch[T], at time.Time, returned bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if batch.Revision < c.revision {
		return false
	}
	before := c.entries
	c.entries = make(map[string]feed.Entry[T], len(batch.Entries))
	for _, e := range batch.Entries {
		if old, ok := before[e.Name]; ok && e.Unreadable && c.lastGood {
			e = old
		}
		c.entries[e.Name] = e
	}
	if c.revision == 0 {
		c.from = batch.Revision
	} else {
		c.keep(feed.Batch[T]{Revision: batch.Revision, Entries: c.since(before)})
	}
	c.confirm(batch.Revision, at, returned)
	return true
}

// since returns what has changed of the objects that the copy held before.
func (c *Copy[T]) since(before map[string]feed.Entry[T]) []feed.Entry[T] {
	var list []feed.Entry[T]
	for name, e := range c.entries {
		if old, ok := before[name]; !ok || old.Revision != e.Revision || old.Unreadable != e.Unreadable {
			list = append(list, e)
		}
	}
	for name, old := range before {
		if _, ok := c.entries[name]; !ok {
			list = append(list, feed.Entry[T]{Name: name, Revision: max(old.Revision, c.revision), Deleted: true})
		}
	}
	return list
}

// keep adds changes to the log, of which the oldest go.
func (c *Copy[T]) keep(news feed.Batch[T]) {
	if len(news.Entries) == 0 {
		return
	}
	c.log = append(c.log, news)
	if len(c.log) > keptBatches {
		c.from = c.log[0].Revision
		c.log = c.log[1:]
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
	if batch.Revision < c.revision {
		return feed.Batch[T]{}, false
	}
	news := feed.Batch[T]{Revision: batch.Revision}
	for _, e := range batch.Entries {
		if e.Revision < c.entries[e.Name].Revision || e.Unreadable && c.lastGood {
			continue
		}
		news.Entries = append(news.Entries, e)
		if e.Deleted {
			delete(c.entries, e.Name)
		} else {
			c.entries[e.Name] = e
		}
	}
	c.keep(news)
	c.confirm(batch.Revision, at, returned)
	return news, true
}

func (c *Copy[T]) confirm(revision int64, at time.Time, returned bool) {
	c.revision, c.returned = revision, returned
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Since returns what a host at a revision lacks, and whether that is everything there is.
func (c *Copy[T]) Since(revision int64) (batch feed.Batch[T], full, returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch.Revision = c.revision
	if revision < c.from || revision == 0 {
		for _, e := range c.entries {
			batch.Entries = append(batch.Entries, e)
		}
		return batch, true, c.returned
	}
	for _, b := range c.log {
		if b.Revision > revision {
			batch.Entries = append(batch.Entries, b.Entries...)
		}
	}
	return batch, false, c.returned
}

// pack returns all objects in packed form. It is kept until the next change: when a fleet starts, a hundred hosts ask
// for the same.
func (c *Copy[T]) pack(all feed.Batch[T]) ([]byte, error) {
	c.mu.Lock()
	packed, at := c.packed, c.packedAt
	c.mu.Unlock()
	if packed != nil && at == all.Revision {
		return packed, nil
	}
	packed, err := pack(all.Entries)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packed, c.packedAt = packed, all.Revision
	return packed, nil
}
