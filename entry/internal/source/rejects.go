package source

import (
	"github.com/go-logr/logr"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
)

const (
	// mostLines limits the log lines for one reply of the store, mostKnown the number of objects marked as logged: another
	// writer may leave thousands of unreadable objects, and each list contains all of them again.
	mostLines = 8
	mostKnown = 4096
)

// rejects logs each unreadable object once, in a bounded number of lines.
type rejects struct {
	log   logr.Logger
	kind  string
	count func(n int)
	// known holds the revision at which an object was logged, by name; objects without a name share one entry.
	known map[string]int64
}

func newRejects(log logr.Logger, kind string, count func(n int)) *rejects {
	return &rejects{log: log, kind: kind, count: count, known: map[string]int64{}}
}

// report logs and counts the objects that were not logged yet.
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

// forget lets all objects be logged again: in a new era their revisions stand for other states.
func (r *rejects) forget() { clear(r.known) }

// remember marks an object as logged. At the limit all marks are dropped: a repeated line is cheaper than unbounded
// memory.
func (r *rejects) remember(rej feed.Rejected) {
	if len(r.known) >= mostKnown {
		clear(r.known)
	}
	r.known[rej.Name] = rej.Revision
}
