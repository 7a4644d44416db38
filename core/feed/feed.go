package feed

import "errors"

// ErrHistoryGone means that the changes since the wanted revision are no longer kept, so that all objects have to be
// listed again.
var ErrHistoryGone = errors.New("feed: the history since that revision is gone")

// Entry is one object as it was last seen.
type Entry[T any] struct {
	Name string
	// Revision is the store's revision at the object's last change.
	Revision int64
	Deleted  bool
	// Unreadable says that the object is there and can't be read. It stands for nothing, and what was known of the name
	// no longer holds.
	Unreadable bool
	// Value is the zero value where the object is deleted or unreadable.
	Value T
}

// Batch is a list of all objects, or of those that changed, as of one revision of the store.
type Batch[T any] struct {
	Entries []Entry[T]
	// Revision is where the next changes continue.
	Revision int64
	// Rejected says of each object that could not be read why.
	Rejected []Rejected
}

// Rejected is an object that could not be read.
type Rejected struct {
	// Name is empty where not even that could be read.
	Name     string
	Revision int64
	Reason   error
}
