package compare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/load/internal/compare"
)

// run draws ten seconds of latencies around mean milliseconds, of which a share is factor times longer.
func run(seed uint64, rate int, mean, share, factor float64) []compare.Point {
	rnd := rand.New(rand.NewPCG(seed, 3))
	points := make([]compare.Point, 10*rate)
	for i := range points {
		ms := mean * (1 + 0.1*rnd.NormFloat64())
		if rnd.Float64() < share {
			ms *= factor
		}
		points[i] = compare.Point{At: time.Duration(i) * time.Second / time.Duration(rate), Took: time.Duration(ms * float64(time.Millisecond))}
	}
	return points
}

func TestChartTellsARegressionFromNoise(t *testing.T) {
	const allowed = 0.35
	for _, test := range []struct {
		name   string
		target []compare.Point
		want   bool
	}{
		{"the same", run(3, 100, 50, 0, 1), false},
		{"all a tenth slower", run(4, 100, 55, 0, 1), true},
		{"an eighth of the requests three times slower", run(5, 100, 50, 0.125, 3), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			chart, ok := compare.New(compare.Default, run(1, 100, 50, 0, 1), run(2, 100, 50, 0, 1))
			c.Assert(ok, qt.IsTrue)
			_, above := chart.Violations(test.target)
			c.Assert(above > allowed, qt.Equals, test.want, qt.Commentf("%.2f above", above))
		})
	}
}

func TestChartScalesByLoad(t *testing.T) {
	// Latency grows with load in the baseline. A target under more load is slower for that reason alone and is no regression.
	c := qt.New(t)
	chart, ok := compare.New(compare.Default, run(1, 100, 50, 0, 1), run(2, 200, 60, 0, 1))
	c.Assert(ok, qt.IsTrue)
	_, above := chart.Violations(run(3, 300, 70, 0, 1))
	c.Assert(above < 0.35, qt.IsTrue, qt.Commentf("%.2f above", above))
	_, above = chart.Violations(run(4, 100, 60, 0, 1))
	c.Assert(above > 0.35, qt.IsTrue, qt.Commentf("%.2f above", above))
}

func TestRatioOfMediansIsBlindToTheTail(t *testing.T) {
	c := qt.New(t)
	ratio := compare.RatioAt(0.5, run(2, 100, 50, 0.125, 3), run(1, 100, 50, 0, 1))
	c.Assert(ratio > 0.97 && ratio < 1.03, qt.IsTrue, qt.Commentf("%.3f", ratio))
}
