package startup_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/startup"
)

// All hosts lost power and are back. A client's request reaches one that has not heard from the store yet, and is told
// to come back though the host would know all it needs 20 ms later. Where the store is away, the request must not be
// kept from other hosts for long.
func TestFirstRequests(t *testing.T) {
	tests := []struct {
		name         string
		known, comes time.Duration
		served       bool
		answered     time.Duration
	}{
		{"the store answers", 20 * time.Millisecond, 5 * time.Millisecond, true, 20 * time.Millisecond},
		{"the store is away", time.Hour, 5 * time.Millisecond, false, 5*time.Millisecond + startup.HoldFor},
		{"the host has asked nobody yet", 620 * time.Millisecond, 600 * time.Millisecond, true, 620 * time.Millisecond},
		{"it is known already", time.Millisecond, time.Second, true, time.Second},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			s := startup.New(clock.System{})
			time.AfterFunc(test.known, s.Known)
			time.Sleep(test.comes)
			select {
			case <-s.Wanted():
				t.Error("wanted before a request came")
			default:
			}
			qt.Check(t, s.Await(t.Context()), qt.Equals, test.served, qt.Commentf(test.name))
			qt.Check(t, time.Since(began), qt.Equals, test.answered, qt.Commentf(test.name))
			<-s.Wanted()
			// Nobody waits for long again.
			time.Sleep(startup.HoldFor)
			before := time.Now()
			qt.Check(t, s.Await(t.Context()), qt.Equals, test.served, qt.Commentf(test.name))
			qt.Check(t, time.Since(before), qt.Equals, time.Duration(0), qt.Commentf(test.name))
		})
	}
}
