package clienttimeout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/clienttimeout"
)

// Guards against first attempts being taken for retries, which are all refused under load. Four clients in ten retry
// with less time left, and one in a hundred states minutes.
func TestFirstAttemptsAreNotTakenForRetries(t *testing.T) {
	const timeout = 600 * time.Millisecond
	var tracker clienttimeout.Tracker
	for i := range 500 {
		left := timeout
		switch {
		case i%100 == 50:
			left = 5 * time.Minute
		case i%10 >= 6:
			left = 450 * time.Millisecond
		}
		waited := tracker.Elapsed(left)
		if left == timeout {
			qt.Assert(t, waited, qt.Equals, time.Duration(0))
		}
		if i > 100 && left < timeout {
			qt.Assert(t, waited, qt.Equals, timeout-left)
		}
	}
	qt.Assert(t, tracker.Elapsed(0), qt.Equals, time.Duration(0))
}
