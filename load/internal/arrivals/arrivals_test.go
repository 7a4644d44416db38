package arrivals_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/load/internal/arrivals"
)

func TestArrivalsKeepTheirRateAndTheirSeed(t *testing.T) {
	// Guards against arrivals at another rate than asked for and against runs that a seed does not reproduce.
	c := qt.New(t)
	one, two := arrivals.New(1000, 7), arrivals.New(1000, 7)
	var last time.Duration
	for range 100_000 {
		at := one.Next()
		c.Assert(at >= last, qt.IsTrue)
		c.Assert(two.Next(), qt.Equals, at)
		last = at
	}
	// 100,000 arrivals at 1,000 per second take 100 s, with a standard deviation of 0.3 s.
	c.Assert(last > 98*time.Second && last < 102*time.Second, qt.IsTrue, qt.Commentf("%s", last))
}
