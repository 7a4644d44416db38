package rejectlog

import (
	"sync"

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

// Log logs each unreadable object of a kind once, in a bounded number of lines.
type Log struct {
	log   logr.Logger
	kind  string
	count func(n int)

	mu sync.Mutex
	// logged holds the revision at which an object was logged, by name; objects without a name share one entry.
	logged map[string]int64
}

// New returns a Log of a kind. Function count is called with the number of objects that were not logged before.
func New(log logr.Logger, kind string, count func(n int)) *Log {
	return &Log{log: log, kind: kind, count: count, logged: map[string]int64{}}
}

// Report logs and counts the objects that were not logged yet.
func (l *Log) Report(list []feed.Rejected) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, rej := range list {
		if seen, ok := l.logged[rej.Name]; ok && seen >= rej.Revision {
			continue
		}
		l.markLogged(rej)
		if n++; n <= maxLogLines {
			events.ObjectUnreadable.Log(l.log, "kind", l.kind, "object", rej.Name, "revision", rej.Revision, "reason", rej.Reason.Error())
		}
	}
	if n > maxLogLines {
		events.ObjectsUnreadable.Log(l.log, "kind", l.kind, "more", n-maxLogLines, "listed", len(list))
	}
	if n > 0 {
		l.count(n)
	}
}

// Forget lets all objects be logged again: in a new era their revisions stand for other states.
func (l *Log) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.logged)
}

// markLogged marks an object as logged. At the limit all marks are dropped: a repeated line is cheaper than unbounded
// memory.
func (l *Log) markLogged(rej feed.Rejected) {
	if len(l.logged) >= maxLogged {
		clear(l.logged)
	}
	l.logged[rej.Name] = rej.Revision
}
