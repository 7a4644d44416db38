package relay

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaspring.org/core/feed"
)

// tombstoneTTL is how long tombstones of deleted objects are kept. A backup that the store is restored from is some
// seconds old and may still contain them.
const tombstoneTTL = 5 * time.Minute

// retained holds the state that a copy retains from earlier eras of the store.
type retained[T any] struct {
	// tombstones holds the last entries of recently deleted objects, by name.
	tombstones map[string]expiringEntry[T]
	prunedAt   time.Time
	// kept holds the entries that override the stored ones, by name. A deleted entry hides a stored object.
	kept map[string]expiringEntry[T]
	// sum is a checksum of kept.
	sum uint64
}

// expiringEntry is an entry that expires at until; zero means never.
type expiringEntry[T any] struct {
	feed.Entry[T]
	until time.Time
	// stored is the entry that the store holds for this object, if any.
	stored *feed.Entry[T]
}

func (t expiringEntry[T]) expired(now time.Time) bool {
	return !t.until.IsZero() && !now.Before(t.until)
}

func newRetained[T any]() retained[T] {
	return retained[T]{tombstones: map[string]expiringEntry[T]{}, kept: map[string]expiringEntry[T]{}}
}

// isKept reports whether an entry overrides the stored one.
func (r *retained[T]) isKept(name string) bool {
	_, ok := r.kept[name]
	return ok
}

// keep makes an entry override the stored one.
func (r *retained[T]) keep(e feed.Entry[T], until time.Time, stored *feed.Entry[T]) {
	r.remove(e.Name)
	r.kept[e.Name] = expiringEntry[T]{Entry: e, until: until, stored: stored}
	r.sum ^= checksum(e)
}

// remove removes the entry that overrides the stored one, if any.
func (r *retained[T]) remove(name string) {
	if old, ok := r.kept[name]; ok {
		r.sum ^= checksum(old.Entry)
		delete(r.kept, name)
	}
}

// names returns the names of all overridden objects.
func (r *retained[T]) names() []string { return slices.Collect(maps.Keys(r.kept)) }

// hiddenNames returns the names of the hidden objects.
func (r *retained[T]) hiddenNames() []string {
	var names []string
	for name, k := range r.kept {
		if k.Deleted {
			names = append(names, name)
		}
	}
	return names
}

// addTombstone adds a tombstone for a deleted object, and periodically drops expired tombstones.
func (r *retained[T]) addTombstone(held feed.Entry[T], now time.Time) {
	if now.Sub(r.prunedAt) >= tombstoneTTL {
		r.prunedAt = now
		for name, g := range r.tombstones {
			if g.expired(now) {
				delete(r.tombstones, name)
			}
		}
	}
	r.tombstones[held.Name] = expiringEntry[T]{Entry: held, until: now.Add(tombstoneTTL)}
}

// checksum returns a checksum of the name, position and deletion of an entry.
func checksum[T any](e feed.Entry[T]) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(e.Name)
	_ = binary.Write(&d, binary.BigEndian, []int64{e.Era, e.Revision})
	_ = binary.Write(&d, binary.BigEndian, e.Deleted)
	return d.Sum64()
}

// merge returns the entry to use for an object after an entry with a later position was received: that entry, a newer
// one known from an earlier era, or a deleted one.
//
// A write that the store acknowledged stays in force while a restored store has only an older version from its backup.
// The write will be repeated; until then no host may revert to the older version. Entries written in the current era
// are used as they are.
func (c *Copy[T]) merge(e feed.Entry[T], before map[string]feed.Entry[T], restored bool, at time.Time) feed.Entry[T] {
	held, known := before[e.Name]
	if known && e.Unreadable && c.opts.LastGood {
		return held
	}
	// The parent has already decided about deletions on entering a new era.
	if settled := e.Deleted && restored; !settled && !c.writtenInEra(e) {
		if newer, ok := c.newerKnown(e, held, known, restored, at); ok {
			return newer
		}
	}
	c.retained.remove(e.Name)
	if e.Deleted && known && !restored {
		c.retained.addTombstone(held, at)
	}
	return e
}

// writtenInEra reports whether an entry was written in the current era, rather than restored from a backup or retained
// from an earlier era by another host.
func (c *Copy[T]) writtenInEra(e feed.Entry[T]) bool {
	return e.Era == c.eraStart.Era && e.Revision > c.base
}

// newerKnown returns the entry known from an earlier era for an object whose received entry was not written in the
// current era, and whether it is newer than that one.
func (c *Copy[T]) newerKnown(e, held feed.Entry[T], known, restored bool, at time.Time) (feed.Entry[T], bool) {
	kept, keeps := c.retained.kept[e.Name]
	var newer feed.Entry[T]
	ok := false
	switch {
	case e.Era < c.eraStart.Era && known:
		// Another host retains it.
		newer, ok = held, c.newer(held, e)
	case !restored:
		return kept.Entry, keeps
	case known:
		newer, ok = held, held.Era < e.Era && c.isOlder(e, held)
	default:
		newer, ok = c.tombstoneFor(e, at)
	}
	if ok && !c.writtenInEra(newer) {
		c.retained.keep(newer, c.expiryOf(at, e.Name), c.storedEntry(e))
	}
	return newer, ok
}

// storedEntry returns the store's entry for the object of a received entry, or nil if it is not known.
func (c *Copy[T]) storedEntry(e feed.Entry[T]) *feed.Entry[T] {
	if e.Era == c.eraStart.Era {
		return &e
	}
	if kept, ok := c.retained.kept[e.Name]; ok {
		return kept.stored
	}
	return nil
}

// tombstoneFor reports whether an object restored from a backup had been deleted since, and returns a deleted entry for
// it.
func (c *Copy[T]) tombstoneFor(e feed.Entry[T], at time.Time) (feed.Entry[T], bool) {
	gone, ok := c.retained.tombstones[e.Name]
	if !ok {
		gone, ok = c.retained.kept[e.Name]
	}
	if !ok || gone.Era >= e.Era || gone.expired(at) || c.isRecreated(e, gone.Entry) {
		return feed.Entry[T]{}, false
	}
	return feed.Entry[T]{Name: e.Name, Era: gone.Era, Revision: gone.Revision, Deleted: true}, true
}

// isOlder reports whether an entry restored from a backup was written before the held one.
func (c *Copy[T]) isOlder(e, held feed.Entry[T]) bool {
	return !e.Unreadable && !held.Unreadable && c.opts.Older != nil && c.opts.Older(e.Value, held.Value)
}

// newer reports whether one entry of an object was written after another. The era of an entry is the one in which it
// was read, which may be later than the one in which it was written. Options.Older therefore takes precedence.
func (c *Copy[T]) newer(e, than feed.Entry[T]) bool {
	if readable := !e.Unreadable && !than.Unreadable && !e.Deleted && !than.Deleted; readable && c.opts.Older != nil {
		return c.opts.Older(than.Value, e.Value)
	}
	return than.Position().Before(e.Position())
}

// isRecreated reports whether an entry was written after its object was deleted. A backup holds no write of an object
// that is later than the last one seen, so revisions can be compared if Options.Older can't.
func (c *Copy[T]) isRecreated(e, gone feed.Entry[T]) bool {
	if e.Unreadable || gone.Unreadable || gone.Deleted || c.opts.Older == nil {
		return e.Revision > gone.Revision
	}
	return c.opts.Older(gone.Value, e.Value)
}

// expiryOf returns the time at which a retained entry expires. Retaining an object again doesn't extend it.
func (c *Copy[T]) expiryOf(at time.Time, name string) time.Time {
	if k, ok := c.retained.kept[name]; ok {
		return k.until
	}
	if c.opts.KeepFor == 0 {
		return time.Time{}
	}
	return at.Add(c.opts.KeepFor)
}

// dropExpired replaces expired entries by those of the store, and returns the resulting changes.
func (c *Copy[T]) dropExpired(now time.Time) []feed.Entry[T] {
	var changes []feed.Entry[T]
	for name, k := range c.retained.kept {
		if !k.expired(now) {
			continue
		}
		c.retained.remove(name)
		if k.stored == nil && !k.Deleted && !c.opts.KeepAbsent {
			// Another host had an older version, so that the store may still hold the object.
			continue
		}
		e := feed.Entry[T]{Name: name, Era: c.reached.Era, Revision: c.reached.Revision, Deleted: true}
		if k.stored != nil {
			e = *k.stored
		}
		c.put(e)
		changes = append(changes, e)
	}
	return changes
}

// Retained returns the entries retained from earlier eras, and their checksum.
func (c *Copy[T]) Retained() ([]feed.Entry[T], uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]feed.Entry[T], 0, len(c.retained.kept))
	for _, k := range c.retained.kept {
		list = append(list, k.Entry)
	}
	return list, c.retained.sum
}

// MergeRetained applies the entries that another host in the same era retains from earlier ones, and returns the
// resulting changes. A host that started after the store was restored has only the objects of the backup.
func (c *Copy[T]) MergeRetained(kept []feed.Entry[T], at time.Time) feed.Batch[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := feed.Batch[T]{Era: c.reached.Era, Revision: c.reached.Revision}
	sum := c.retained.sum
	for _, k := range kept {
		held, known := c.entries[k.Name]
		if k.Era >= c.reached.Era || !c.isOutdatedBy(held, known, k) {
			continue
		}
		var stored *feed.Entry[T]
		switch own, ok := c.retained.kept[k.Name]; {
		case ok:
			stored = own.stored
		case known:
			stored = &held
		}
		c.retained.keep(k, c.expiryOf(at, k.Name), stored)
		if known && held.Position() == k.Position() || !known && k.Deleted {
			continue
		}
		c.put(k)
		changes.Entries = append(changes.Entries, k)
	}
	if sum != c.retained.sum {
		c.notify()
	}
	return changes
}

// isOutdatedBy reports whether the local version of an object is older than the entry k retained by another host, and
// was not written in the current era.
func (c *Copy[T]) isOutdatedBy(held feed.Entry[T], known bool, k feed.Entry[T]) bool {
	own, kept := c.retained.kept[k.Name]
	gone, ended := c.retained.tombstones[k.Name]
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
	return held.Position() == k.Position() || c.isOlder(held, k)
}
