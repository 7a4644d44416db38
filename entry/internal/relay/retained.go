package relay

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaspring.org/core/feed"
)

// goneFor is how long deleted objects are remembered: the copy that the store comes back from is some seconds old, and
// may hold them again.
const goneFor = 5 * time.Minute

// retained is what a copy keeps from the store's earlier eras.
type retained[T any] struct {
	// gone holds the last entries of objects that were deleted a short while ago.
	gone   map[string]timed[T]
	pruned time.Time
	// kept holds what goes before the store's word, by name; a deleted entry says that the object is left out.
	kept map[string]timed[T]
	// sum is a checksum of kept.
	sum uint64
}

// timed is an entry that counts until a moment; the zero value of that means always.
type timed[T any] struct {
	feed.Entry[T]
	until time.Time
	// stored is what the store holds in its place, where it holds anything.
	stored *feed.Entry[T]
}

func (t timed[T]) over(now time.Time) bool { return !t.until.IsZero() && !now.Before(t.until) }

func newRetained[T any]() retained[T] {
	return retained[T]{gone: map[string]timed[T]{}, kept: map[string]timed[T]{}}
}

func (r *retained[T]) holds(name string) bool {
	_, ok := r.kept[name]
	return ok
}

func (r *retained[T]) keep(e feed.Entry[T], until time.Time, stored *feed.Entry[T]) {
	r.forget(e.Name)
	r.kept[e.Name] = timed[T]{Entry: e, until: until, stored: stored}
	r.sum ^= checksum(e)
}

func (r *retained[T]) forget(name string) {
	if old, ok := r.kept[name]; ok {
		r.sum ^= checksum(old.Entry)
		delete(r.kept, name)
	}
}

// names returns the names of all that is kept.
func (r *retained[T]) names() []string { return slices.Collect(maps.Keys(r.kept)) }

// omitted returns the names of the objects that are left out.
func (r *retained[T]) omitted() []string {
	var names []string
	for name, k := range r.kept {
		if k.Deleted {
			names = append(names, name)
		}
	}
	return names
}

// ended remembers an object that was deleted, and now and then forgets those that are too old.
func (r *retained[T]) ended(held feed.Entry[T], now time.Time) {
	if now.Sub(r.pruned) >= goneFor {
		r.pruned = now
		for name, g := range r.gone {
			if g.over(now) {
				delete(r.gone, name)
			}
		}
	}
	r.gone[held.Name] = timed[T]{Entry: held, until: now.Add(goneFor)}
}

func checksum[T any](e feed.Entry[T]) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(e.Name)
	_ = binary.Write(&d, binary.BigEndian, []int64{e.Era, e.Revision})
	_ = binary.Write(&d, binary.BigEndian, e.Deleted)
	return d.Sum64()
}

// merge returns what an entry that is newer by its position makes of its object: the entry itself, what is known from an
// earlier era, or a deleted entry.
//
// What an operator or a replica wrote, and the store acknowledged, holds on while the store has only an older copy of
// it. It is written again; until then its copy must not undo it on any host. All that was written in the present era
// counts as it is.
func (c *Copy[T]) merge(e feed.Entry[T], before map[string]feed.Entry[T], restored bool, at time.Time) feed.Entry[T] {
	held, known := before[e.Name]
	if known && e.Unreadable && c.opts.LastGood {
		return held
	}
	// What is deleted on the way to a new era was settled by the host above.
	if settled := e.Deleted && restored; !settled && !c.written(e) {
		if newer, ok := c.newerThan(e, held, known, restored, at); ok {
			return newer
		}
	}
	c.retained.forget(e.Name)
	if e.Deleted && known && !restored {
		c.retained.ended(held, at)
	}
	return e
}

// written reports whether an entry was written in the present era: neither may it be as the store's copy had it, nor does
// another host keep it from an earlier one.
func (c *Copy[T]) written(e feed.Entry[T]) bool { return e.Era == c.began.Era && e.Revision > c.base }

// newerThan returns what is known from an earlier era in place of an entry that was not written in the present one, and
// whether that is newer.
func (c *Copy[T]) newerThan(e, held feed.Entry[T], known, restored bool, at time.Time) (feed.Entry[T], bool) {
	kept, keeps := c.retained.kept[e.Name]
	var newer feed.Entry[T]
	ok := false
	switch {
	case e.Era < c.began.Era && known:
		// Another host keeps it.
		newer, ok = held, c.newer(held, e)
	case !restored:
		return kept.Entry, keeps
	case known:
		newer, ok = held, held.Era < e.Era && c.outdates(e, held)
	default:
		newer, ok = c.omits(e, at)
	}
	if ok && !c.written(newer) {
		c.retained.keep(newer, c.until(at, e.Name), c.storedFor(e))
	}
	return newer, ok
}

// storedFor returns what the store holds of an object of which an entry was received, nil where that is not known.
func (c *Copy[T]) storedFor(e feed.Entry[T]) *feed.Entry[T] {
	if e.Era == c.began.Era {
		return &e
	}
	if kept, ok := c.retained.kept[e.Name]; ok {
		return kept.stored
	}
	return nil
}

// omits reports whether the store's copy has an object that was deleted since, and returns what stands for that.
func (c *Copy[T]) omits(e feed.Entry[T], at time.Time) (feed.Entry[T], bool) {
	gone, ok := c.retained.gone[e.Name]
	if !ok {
		gone, ok = c.retained.kept[e.Name]
	}
	if !ok || gone.Era >= e.Era || gone.over(at) || c.revives(e, gone.Entry) {
		return feed.Entry[T]{}, false
	}
	return feed.Entry[T]{Name: e.Name, Era: gone.Era, Revision: gone.Revision, Deleted: true}, true
}

// outdates reports whether an entry of the store's copy was written before what is known.
func (c *Copy[T]) outdates(e, held feed.Entry[T]) bool {
	return !e.Unreadable && !held.Unreadable && c.opts.Older != nil && c.opts.Older(e.Value, held.Value)
}

// newer reports whether one entry of an object was written after another. The era of an entry is that in which it was
// read, which may be later than the one in which it was written: what objects say of themselves goes first.
func (c *Copy[T]) newer(e, than feed.Entry[T]) bool {
	if readable := !e.Unreadable && !than.Unreadable && !e.Deleted && !than.Deleted; readable && c.opts.Older != nil {
		return c.opts.Older(than.Value, e.Value)
	}
	return than.Position().Before(e.Position())
}

// revives reports whether an entry was written after its object was deleted. The store's copy holds no write of an
// object that is later than the last one seen, so that where objects don't say which is newer their revisions do.
func (c *Copy[T]) revives(e, gone feed.Entry[T]) bool {
	if e.Unreadable || gone.Unreadable || gone.Deleted || c.opts.Older == nil {
		return e.Revision > gone.Revision
	}
	return c.opts.Older(gone.Value, e.Value)
}

// until returns the moment up to which an object is kept; keeping it again doesn't move that.
func (c *Copy[T]) until(at time.Time, name string) time.Time {
	if k, ok := c.retained.kept[name]; ok {
		return k.until
	}
	if c.opts.KeepFor == 0 {
		return time.Time{}
	}
	return at.Add(c.opts.KeepFor)
}

// expire lets the store's word count for what was kept for long enough, and returns what changes by it.
func (c *Copy[T]) expire(now time.Time) []feed.Entry[T] {
	var news []feed.Entry[T]
	for name, k := range c.retained.kept {
		if !k.over(now) {
			continue
		}
		c.retained.forget(name)
		if k.stored == nil && !k.Deleted && !c.opts.KeepAbsent {
			// Another host had it older, which doesn't say that the store lacks it.
			continue
		}
		e := feed.Entry[T]{Name: name, Era: c.reached.Era, Revision: c.reached.Revision, Deleted: true}
		if k.stored != nil {
			e = *k.stored
		}
		c.put(e)
		news = append(news, e)
	}
	return news
}

// Kept returns what the copy keeps from earlier eras, and its checksum.
func (c *Copy[T]) Kept() ([]feed.Entry[T], uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]feed.Entry[T], 0, len(c.retained.kept))
	for _, k := range c.retained.kept {
		list = append(list, k.Entry)
	}
	return list, c.retained.sum
}

// Merge takes over what another host in the same era keeps from earlier ones, and returns what changes by it. A host that
// started after the store came back knows only the store's copy.
func (c *Copy[T]) Merge(kept []feed.Entry[T], at time.Time) feed.Batch[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	news := feed.Batch[T]{Era: c.reached.Era, Revision: c.reached.Revision}
	sum := c.retained.sum
	for _, k := range kept {
		held, known := c.entries[k.Name]
		if k.Era >= c.reached.Era || !c.yields(held, known, k) {
			continue
		}
		var stored *feed.Entry[T]
		switch own, ok := c.retained.kept[k.Name]; {
		case ok:
			stored = own.stored
		case known:
			stored = &held
		}
		c.retained.keep(k, c.until(at, k.Name), stored)
		if known && held.Position() == k.Position() || !known && k.Deleted {
			continue
		}
		c.put(k)
		news.Entries = append(news.Entries, k)
	}
	if sum != c.retained.sum {
		c.wake()
	}
	return news
}

// yields reports whether what is known of an object is no more than the store's copy of it, and older than what another
// host keeps.
func (c *Copy[T]) yields(held feed.Entry[T], known bool, k feed.Entry[T]) bool {
	own, kept := c.retained.kept[k.Name]
	gone, ended := c.retained.gone[k.Name]
	switch {
	case kept:
		return c.newer(k, own.Entry)
	case !known && ended && !gone.Position().Before(k.Position()):
		return k.Deleted
	case !known:
		return c.opts.KeepAbsent || k.Deleted
	case held.Era == c.reached.Era && held.Revision > c.base:
		return false
	case k.Deleted:
		return held.Revision <= k.Revision
	}
	return held.Position() == k.Position() || c.outdates(held, k)
}
