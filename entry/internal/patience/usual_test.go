package patience_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/patience"
)

// Guards against first attempts being taken for retries, which are all refused under load. Four clients in ten retry
// with less time left, and one in a hundred states minutes.
func TestFirstComersHaveNotWaited(t *testing.T) {
	const first = 600 * time.Millisecond
	var u patience.Usual
	for i := range 500 {
		left := first
		switch {
		case i%100 == 50:
			left = 5 * time.Minute
		case i%10 >= 6:
			left = 450 * time.Millisecond
		}
		waited := u.Waited(left)
		if left == first {
			qt.Assert(t, waited, qt.Equals, time.Duration(0))
		}
		if i > 100 && left < first {
			qt.Assert(t, waited, qt.Equals, first-left)
		}
	}
	qt.Assert(t, u.Waited(0), qt.Equals, time.Duration(0))
}
