package arrivals_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/load/internal/arrivals"
)

func TestArrivalsKeepTheirRateAndTheirSeed(t *testing.T) {
	c := qt.New(t)
	one, two := arrivals.New(1000, 7), arrivals.New(1000, 7)
	var last time.Duration
	for range 100_000 {
		at := one.Next()
		c.Assert(at >= last, qt.IsTrue)
		c.Assert(two.Next(), qt.Equals, at)
		last = at
	}
	// A hundred thousand at a thousand a second take a hundred seconds, within a few standard deviations of 0.3 s.
	c.Assert(last > 98*time.Second && last < 102*time.Second, qt.IsTrue, qt.Commentf("%s", last))
}
