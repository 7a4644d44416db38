package startup_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/startup"
)

// Guards against a request that a starting host rejects although the store replies 20 ms later, and against one that is
// held for long, and so kept from other hosts, while the store is unavailable.
func TestFirstRequestsWaitForData(t *testing.T) {
	tests := []struct {
		name                     string
		knownAfter, requestAfter time.Duration
		served                   bool
		returnsAfter             time.Duration
	}{
		{"the store replies", 20 * time.Millisecond, 5 * time.Millisecond, true, 20 * time.Millisecond},
		{"the store is unavailable", time.Hour, 5 * time.Millisecond, false, 5*time.Millisecond + startup.HoldFor},
		{"the first request comes late", 620 * time.Millisecond, 600 * time.Millisecond, true, 620 * time.Millisecond},
		{"the data is loaded before the first request", time.Millisecond, time.Second, true, time.Second},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			s := startup.New(clock.System{})
			time.AfterFunc(test.knownAfter, s.MarkReady)
			time.Sleep(test.requestAfter)
			select {
			case <-s.Requested():
				t.Error("Wanted is closed before the first request")
			default:
			}
			qt.Check(t, s.Await(t.Context()), qt.Equals, test.served, qt.Commentf(test.name))
			qt.Check(t, time.Since(began), qt.Equals, test.returnsAfter, qt.Commentf(test.name))
			<-s.Requested()
			// No later request waits.
			time.Sleep(startup.HoldFor)
			before := time.Now()
			qt.Check(t, s.Await(t.Context()), qt.Equals, test.served, qt.Commentf(test.name))
			qt.Check(t, time.Since(before), qt.Equals, time.Duration(0), qt.Commentf(test.name))
		})
	}
}
