package source

import (
	"github.com/go-logr/logr"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
)

const (
	// maxLogLines limits the log lines for one reply of the store, maxLogged the number of objects marked as logged:
	// another writer may leave thousands of unreadable objects, and each list contains all of them again.
	maxLogLines = 8
	maxLogged   = 4096
)

// rejectLog logs each unreadable object once, in a bounded number of lines.
type rejectLog struct {
	log   logr.Logger
	kind  string
	count func(n int)
	// logged holds the revision at which an object was logged, by name; objects without a name share one entry.
	logged map[string]int64
}

func newRejectLog(log logr.Logger, kind string, count func(n int)) *rejectLog {
	return &rejectLog{log: log, kind: kind, count: count, logged: map[string]int64{}}
}

// report logs and counts the objects that were not logged yet.
func (r *rejectLog) report(list []feed.Rejected) {
	n := 0
	for _, rej := range list {
		if seen, ok := r.logged[rej.Name]; ok && seen >= rej.Revision {
			continue
		}
		r.markLogged(rej)
		if n++; n <= maxLogLines {
			events.ObjectUnreadable.Log(r.log, "kind", r.kind, "object", rej.Name, "revision", rej.Revision, "reason", rej.Reason.Error())
		}
	}
	if n > maxLogLines {
		events.ObjectsUnreadable.Log(r.log, "kind", r.kind, "more", n-maxLogLines, "listed", len(list))
	}
	if n > 0 {
		r.count(n)
	}
}

// forget lets all objects be logged again: in a new era their revisions stand for other states.
func (r *rejectLog) forget() { clear(r.logged) }

// markLogged marks an object as logged. At the limit all marks are dropped: a repeated line is cheaper than unbounded
// memory.
func (r *rejectLog) markLogged(rej feed.Rejected) {
	if len(r.logged) >= maxLogged {
		clear(r.logged)
	}
	r.logged[rej.Name] = rej.Revision
}
