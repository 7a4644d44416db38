package feed

import (
	"errors"
	"strconv"
)

// ErrCompacted means that the changes since the requested revision are no longer stored, so all objects must be
// listed again.
var ErrCompacted = errors.New("feed: the history since that revision is gone")

// Position is a point in the history of the store. When the store is restored from a backup, it counts revisions from
// that of the backup and increments its era, so revisions of different eras can't be compared.
type Position struct {
	// Era is zero if the store doesn't report it.
	Era, Revision int64
}

// ParseEra parses the era in a reply; it returns zero if the text is empty or not a non-negative number.
func ParseEra(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Before reports whether p is earlier than other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// Entry is the last known state of one object.
type Entry[T any] struct {
	Name string
	// Revision is the revision of the store at the last change of the object, Era the era in which the object was read.
	Revision, Era int64
	Deleted       bool
	// Unreadable is set if the object exists but can't be decoded. It has no value, and earlier values are no longer
	// valid.
	Unreadable bool
	// Value is the zero value if the object is deleted or unreadable.
	Value T
}

// Position returns the revision of the last change of the object, in the era in which it was read.
func (e Entry[T]) Position() Position { return Position{Era: e.Era, Revision: e.Revision} }

// Batch is a list of all objects, or of changed ones, as of one revision of the store.
type Batch[T any] struct {
	Entries []Entry[T]
	// Revision is the revision from which to watch for further changes, Era the era of that revision.
	Revision, Era int64
	// Base is the revision up to which objects may still have the state of the backup from which the era began; zero
	// means Revision.
	Base int64
	// Rejected lists the objects that could not be decoded.
	Rejected []Rejected
}

// Position returns the position as of which the batch is valid.
func (b Batch[T]) Position() Position { return Position{Era: b.Era, Revision: b.Revision} }

// Rejected is an object that could not be decoded, and the reason.
type Rejected struct {
	// Name is empty if it could not be decoded either.
	Name     string
	Revision int64
	Reason   error
}
