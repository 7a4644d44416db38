package endpoints

import (
	"time"

	"guavaspring.org/core/platform"
)

// endedFor is how long the last row of a replica that is gone is remembered: a write that its process had given up
// reaches the store within seconds.
const endedFor = time.Minute

// ended holds the last rows of replicas that are gone, so that a late write of one of them brings nothing back.
type ended struct {
	rows map[string]endedRow
	// pruned is when rows that are too old were last forgotten.
	pruned time.Time
}

type endedRow struct {
	row   platform.Replica
	until time.Time
}

// add remembers a row, and now and then forgets those that are too old.
func (e *ended) add(row platform.Replica, now time.Time) {
	if now.Sub(e.pruned) >= endedFor {
		e.prune(now)
	}
	e.rows[row.ID] = endedRow{row: row, until: now.Add(endedFor)}
}

func (e *ended) prune(now time.Time) {
	e.pruned = now
	for id, old := range e.rows {
		if !now.Before(old.until) {
			delete(e.rows, id)
		}
	}
}

// row returns the last row of a replica that is gone.
func (e *ended) row(id string, now time.Time) (platform.Replica, bool) {
	old, ok := e.rows[id]
	return old.row, ok && now.Before(old.until)
}
