package unloaded_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/unloaded"
)

const calm = 10 * time.Millisecond

// noted returns the time after calm replies and then replies of another median, ten a second.
func noted(t *unloaded.Time, median, span time.Duration, refused bool) time.Duration {
	now := time.Unix(1000, 0)
	t.Note(now, calm)
	for range int(span / (100 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		if refused {
			t.Refused(now)
		}
		t.Note(now, median)
	}
	return t.Get()
}

// A burst of twenty seconds lets requests queue, and replies take three times as long. What work takes must not be
// forgotten over it: the queue would count as work, and ever more would be let in.
func TestBurstIsNotTakenForWork(t *testing.T) {
	got := noted(&unloaded.Time{}, 3*calm, 20*time.Second, false)
	qt.Assert(t, got < calm*5/4, qt.IsTrue, qt.Commentf("%v", got))
}

// All replicas turn four times slower for good, with little to do. Taken for a queue, that would have all requests
// refused for as long as it lasts; while they are, it has to be found out within seconds, and the calm after it at
// once.
func TestSlownessIsFoundOut(t *testing.T) {
	var u unloaded.Time
	got := noted(&u, 4*calm, 3*time.Second, true)
	qt.Assert(t, got, qt.Equals, 4*calm)
	u.Note(time.Unix(2000, 0), calm)
	qt.Assert(t, u.Get(), qt.Equals, calm)
}
