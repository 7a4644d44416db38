package feed

import (
	"errors"
	"strconv"
)

// ErrHistoryGone means that the changes since the wanted revision are no longer kept, so that all objects have to be
// listed again.
var ErrHistoryGone = errors.New("feed: the history since that revision is gone")

// Position is a moment in the store's history. The store counts revisions anew from a lower one each time it comes back
// from an older copy of itself, and its era rises with that: revisions of two eras can't be compared.
type Position struct {
	// Era is zero where the store doesn't say it.
	Era, Revision int64
}

// ParseEra reads the era that an answer bears as text; it is zero where that is missing or no number.
func ParseEra(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Before reports whether p is an earlier moment than other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// Entry is one object as it was last seen.
type Entry[T any] struct {
	Name string
	// Revision is the store's revision at the object's last change, and Era the era in which it was read.
	Revision, Era int64
	Deleted       bool
	// Unreadable says that the object is there and can't be read. It stands for nothing, and what was known of the name
	// no longer holds.
	Unreadable bool
	// Value is the zero value where the object is deleted or unreadable.
	Value T
}

// Position returns the revision of the object's last change in the era in which it was read.
func (e Entry[T]) Position() Position { return Position{Era: e.Era, Revision: e.Revision} }

// Batch is a list of all objects, or of those that changed, as of one revision of the store.
type Batch[T any] struct {
	Entries []Entry[T]
	// Revision is where the next changes continue, and Era the era that it belongs to.
	Revision, Era int64
	// Base is the revision up to which objects may be as the store's copy had them when the era began; zero means
	// Revision.
	Base int64
	// Rejected says of each object that could not be read why.
	Rejected []Rejected
}

// Position returns the moment as of which the batch holds.
func (b Batch[T]) Position() Position { return Position{Era: b.Era, Revision: b.Revision} }

// Rejected is an object that could not be read.
type Rejected struct {
	// Name is empty where not even that could be read.
	Name     string
	Revision int64
	Reason   error
}
