package source

import (
	"github.com/go-logr/logr"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
)

const (
	// mostLines is how many lines one reply of the store may cause, and mostKnown how many objects are remembered as
	// told of: another writer may leave thousands of objects that can't be read, and each list shows all of them again.
	mostLines = 8
	mostKnown = 4096
)

// rejects tells of each object that can't be read once, in a bounded number of lines.
type rejects struct {
	log   logr.Logger
	kind  string
	count func(n int)
	// known holds the revision at which an object was told of, by name; those without a name share one.
	known map[string]int64
}

func newRejects(log logr.Logger, kind string, count func(n int)) *rejects {
	return &rejects{log: log, kind: kind, count: count, known: map[string]int64{}}
}

// report logs and counts the objects that were not told of yet.
func (r *rejects) report(list []feed.Rejected) {
	n := 0
	for _, rej := range list {
		if seen, ok := r.known[rej.Name]; ok && seen >= rej.Revision {
			continue
		}
		r.remember(rej)
		if n++; n <= mostLines {
			events.ObjectUnreadable.Log(r.log, "kind", r.kind, "object", rej.Name, "revision", rej.Revision, "reason", rej.Reason.Error())
		}
	}
	if n > mostLines {
		events.ObjectsUnreadable.Log(r.log, "kind", r.kind, "more", n-mostLines, "listed", len(list))
	}
	if n > 0 {
		r.count(n)
	}
}

// forget lets all objects be logged again: their revisions stand for something else by now.
func (r *rejects) forget() { clear(r.known) }

// remember notes that an object was told of. Once too many are known, all are forgotten: a line too many is cheaper
// than memory without bound.
func (r *rejects) remember(rej feed.Rejected) {
	if len(r.known) >= mostKnown {
		clear(r.known)
	}
	r.known[rej.Name] = rej.Revision
}
