package endpoints_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/feed"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/pick"
	"guavaspring.org/entry/internal/replicatest"
)

// restarted returns a replica's row after a restart.
func restarted(row platform.Replica, after time.Duration, sequence int64) platform.Replica {
	row.Started, row.Sequence = row.Started.Add(after), sequence
	return row
}

func withStart(r *replicatest.Replica) platform.Replica {
	r.Row.Started, r.Row.Sequence = time.Now().Add(-time.Hour).UTC().Truncate(time.Millisecond), 40
	return r.Row
}

// oneReplica returns a table with one listed replica, and the replica's row.
func oneReplica(t *testing.T) (*endpoints.Table, platform.Replica) {
	f := replicatest.New()
	t.Cleanup(f.Close)
	row := withStart(f.Add("a", 1, replicatest.OK("a-1", 0, "x")))
	table := newTable(f)
	table.Replace(f.Batch(), false)
	return table, row
}

func send(t *testing.T, r *endpoints.Replica, once bool) exchange.Result {
	req := &opaque.Request{ID: "q", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
	return r.Send(t.Context(), endpoints.Call{Request: req, Deadline: time.Now().Add(10 * time.Second), Connections: 4, Usual: 30 * time.Millisecond, Once: once})
}

// Guards against backoff and failures of a crashed process that count against the process started next under the same
// id: its shard would miss a replica for seconds.
func TestRestartResetsBackoffAndFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		t.Cleanup(f.Close)
		handle := replicatest.Broken(time.Millisecond)
		r := f.Add("a", 1, func(req *http.Request, b []byte) replicatest.Answer { return handle(req, b) })
		withStart(r)
		other := f.Add("a", 2, replicatest.OK("a-2", 30*time.Millisecond, "x"))
		other.Row.Zone = "b"
		table := newTable(f)
		table.Replace(f.Batch(), false)
		s := table.Service("a")
		pick := func(tried ...*endpoints.Replica) endpoints.Choice {
			c, _ := s.Pick(time.Now(), endpoints.Need{Need: pick.Need{Usual: 30 * time.Millisecond, Within: time.Second}, Tried: tried}, func() float64 { return 0 })
			return c
		}
		old := pick().Replica
		for range 4 {
			send(t, old, false)
		}
		second := pick().Replica
		qt.Assert(t, second.ID(), qt.Equals, "a-2")
		handle = replicatest.OK("a-1", 30*time.Millisecond, "x")
		table.Change(changed(restarted(r.Row, time.Hour, 1), false), false)
		qt.Assert(t, old.Usable(), qt.IsFalse)
		c := pick(second)
		qt.Assert(t, c.Replica.ID(), qt.Equals, "a-1")
		qt.Assert(t, c.Seen.Cold, qt.IsTrue)
		qt.Assert(t, c.Seen.Failures, qt.Equals, 0.0)
		qt.Assert(t, c.Replica.Process() == old.Process(), qt.IsFalse)
		qt.Assert(t, send(t, c.Replica, false).Kind, qt.Equals, upstream.KindOK)
		time.Sleep(time.Second)
	})
}

// Guards against a replica that stays unusable after a restart. Its address was taken by another service's replica for
// a while and rejected its requests; then it starts again under its id and address.
func TestRestartClearsMisdirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		t.Cleanup(f.Close)
		handle := replicatest.Misdirected()
		r := f.Add("a", 1, func(req *http.Request, b []byte) replicatest.Answer { return handle(req, b) })
		withStart(r)
		table := newTable(f)
		table.Replace(f.Batch(), false)
		qt.Assert(t, send(t, table.Service("a").Replicas()[0], false).Kind, qt.Equals, upstream.KindRefused)
		qt.Assert(t, usable(table.Service("a")), qt.Equals, 0)
		handle = replicatest.OK("a-1", 0, "x")
		table.Change(changed(restarted(r.Row, time.Hour, 1), false), false)
		qt.Assert(t, usable(table.Service("a")), qt.Equals, 1)
		qt.Assert(t, send(t, table.Service("a").Replicas()[0], false).Kind, qt.Equals, upstream.KindOK)
		time.Sleep(time.Second)
	})
}

// Guards against a write that waits for its deadline after its replica restarted. The replica's host loses power, so
// that the connection stays silent, and the replica starts again under its id. The write has to fail at that moment
// with an unknown outcome, and the new process must not receive it.
func TestRestartFailsRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		t.Cleanup(f.Close)
		r := f.Add("a", 1, func(*http.Request, []byte) replicatest.Answer { return replicatest.Answer{Silent: true} })
		withStart(r)
		table := newTable(f)
		table.Replace(f.Batch(), false)
		done := make(chan exchange.Result, 1)
		go func() { done <- send(t, table.Service("a").Replicas()[0], true) }()
		time.Sleep(100 * time.Millisecond)
		table.Change(changed(restarted(r.Row, time.Hour, 1), false), false)
		began := time.Now()
		res := <-done
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		qt.Assert(t, res.Kind, qt.Equals, upstream.KindBroken)
		qt.Assert(t, res.Kind.NotRun(), qt.IsFalse)
		qt.Assert(t, res.Died, qt.IsFalse)
		qt.Assert(t, r.Runs(), qt.HasLen, 1)
		time.Sleep(time.Second)
	})
}

// Guards against a late write that brings back an ended process, or sends requests to one that is about to end. A row
// that the replica had given up on writing reaches the store after a row that it leaves, after its restart, or after
// its removal.
func TestLateRowIsIgnored(t *testing.T) {
	leaving := func(r platform.Replica) platform.Replica {
		r.State = platform.StateLeaving
		return r
	}
	tests := []struct {
		name string
		// rows returns the rows known when the late row comes, following the first one.
		rows func(first platform.Replica) []platform.Replica
		// gone is whether the replica of the last row is taken off the list.
		gone   bool
		usable int
		// started is the time from the start of the first process to that of the process in use at the end.
		started time.Duration
	}{
		{"after it said that it leaves", func(r platform.Replica) []platform.Replica {
			return []platform.Replica{r, leaving(restarted(r, 0, 42))}
		}, false, 0, 0},
		{"after it started again", func(r platform.Replica) []platform.Replica {
			return []platform.Replica{r, restarted(r, time.Minute, 1)}
		}, false, 1, time.Minute},
		{"after the new process said that it leaves", func(r platform.Replica) []platform.Replica {
			return []platform.Replica{r, leaving(restarted(r, time.Minute, 7))}
		}, false, 0, 0},
		{"after the new process is gone", func(r platform.Replica) []platform.Replica {
			return []platform.Replica{r, restarted(r, time.Minute, 7)}
		}, true, 0, 0},
		{"after it was taken off the list", func(r platform.Replica) []platform.Replica { return []platform.Replica{restarted(r, 0, 42)} }, true, 0, 0},
	}
	for _, test := range tests {
		for _, whole := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				table, first := oneReplica(t)
				rows := test.rows(first)
				for _, row := range rows {
					table.Change(changed(row, false), false)
				}
				if test.gone {
					table.Change(changed(rows[len(rows)-1], true), false)
				}
				late := changed(restarted(first, 0, 41), false)
				if whole {
					table.Replace(late, false)
				} else {
					table.Change(late, false)
				}
				comment := qt.Commentf("%s, in a list: %v", test.name, whole)
				qt.Assert(t, usable(table.Service("a")), qt.Equals, test.usable, comment)
				if test.usable > 0 {
					process := fmt.Sprintf("a-1@%d", first.Started.Add(test.started).UnixMilli())
					qt.Assert(t, table.Service("a").Replicas()[0].Process(), qt.Equals, process, comment)
				}
			})
		}
	}
}

// Guards against a replica that is left out for as long as its process lives. The clock of its host is set back, so
// that after a restart its start is before that of its former process; it keeps writing its row.
func TestRestartAfterClockSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, row := oneReplica(t)
		old := table.Service("a").Replicas()[0].Process()
		table.Change(changed(restarted(row, -time.Second, 1), false), false)
		qt.Assert(t, table.Service("a").Replicas()[0].Process(), qt.Equals, old)
		time.Sleep(4 * time.Second)
		qt.Assert(t, usable(table.Service("a")), qt.Equals, 1)
		qt.Assert(t, table.Service("a").Replicas()[0].Process() == old, qt.IsFalse)
	})
}

// Guards against the use of a replica whose entry is unreadable or has a start in the future. It has to be removed at
// once, even after an outage of the store, when vanished replicas are still used for a while, and used again once its
// entry is valid.
func TestInvalidEntryRemovesReplica(t *testing.T) {
	for _, returned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table, row := oneReplica(t)
			broken := feed.Entry[platform.Replica]{Name: row.ID, Revision: 9, Unreadable: true}
			table.Change(feed.Batch[platform.Replica]{Revision: 9, Entries: []feed.Entry[platform.Replica]{broken}}, returned)
			qt.Assert(t, usable(table.Service("a")), qt.Equals, 0)
			table.Change(changed(restarted(row, 0, 41), false), returned)
			qt.Assert(t, usable(table.Service("a")), qt.Equals, 1)
			table.Change(changed(restarted(row, 48*time.Hour, 1), false), returned)
			qt.Assert(t, usable(table.Service("a")), qt.Equals, 0)
			table.Change(changed(restarted(row, 0, 42), false), returned)
			qt.Assert(t, usable(table.Service("a")), qt.Equals, 1)
		})
	}
}
