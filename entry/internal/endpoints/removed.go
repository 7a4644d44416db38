package endpoints

import (
	"time"

	"guavaspring.org/core/platform"
)

// removedRowTTL is how long the last row of a removed replica is kept: a write that its process had given up on reaches
// the store within seconds.
const removedRowTTL = time.Minute

// removedRows holds the last rows of removed replicas, so that a late write does not bring one back.
type removedRows struct {
	rows map[string]removedRow
	// pruned is when expired rows were last deleted.
	pruned time.Time
}

type removedRow struct {
	row   platform.Replica
	until time.Time
}

// add stores a row, and deletes expired ones at most once per removedRowTTL.
func (e *removedRows) add(row platform.Replica, now time.Time) {
	if now.Sub(e.pruned) >= removedRowTTL {
		e.prune(now)
	}
	e.rows[row.ID] = removedRow{row: row, until: now.Add(removedRowTTL)}
}

func (e *removedRows) prune(now time.Time) {
	e.pruned = now
	for id, old := range e.rows {
		if !now.Before(old.until) {
			delete(e.rows, id)
		}
	}
}

// row returns the last row of a removed replica.
func (e *removedRows) row(id string, now time.Time) (platform.Replica, bool) {
	old, ok := e.rows[id]
	return old.row, ok && now.Before(old.until)
}
