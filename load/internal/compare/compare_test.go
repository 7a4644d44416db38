package compare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/load/internal/compare"
)

// run generates 1,000 latencies around mean milliseconds; a share of them is factor times longer.
func run(seed uint64, mean, share, factor float64) compare.Run {
	rnd := rand.New(rand.NewPCG(seed, 3))
	list := make(compare.Run, 1000)
	for i := range list {
		ms := mean * (1 + 0.1*rnd.NormFloat64())
		if rnd.Float64() < share {
			ms *= factor
		}
		list[i] = time.Duration(ms * float64(time.Millisecond))
	}
	return list
}

func TestRegressionsAreToldFromNoise(t *testing.T) {
	// Guards against missed regressions of all requests or of the tail, and against one disturbed earlier run.
	same := func(seed uint64) compare.Run { return run(seed, 50, 0, 1) }
	quiet := []compare.Run{same(1), same(2), same(3), same(4), same(5)}
	for _, test := range []struct {
		name    string
		newer   compare.Run
		earlier []compare.Run
		want    bool
	}{
		{"the same", same(6), quiet, false},
		{"faster", run(6, 45, 0, 1), quiet, false},
		{"all 5 percent slower", run(6, 52.5, 0, 1), quiet, true},
		{"one in fifty three times slower", run(6, 50, 0.02, 3), quiet, true},
		{"the same, after one disturbed run", same(6), append([]compare.Run{run(7, 80, 0.1, 9)}, quiet...), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			findings, err := compare.Compare(test.newer, test.earlier)
			c.Assert(err, qt.IsNil)
			slower := false
			for _, f := range findings {
				slower = slower || f.Slower()
			}
			c.Assert(slower, qt.Equals, test.want, qt.Commentf("%+v", findings))
		})
	}
}

func TestTwoEarlierRunsAreTooFew(t *testing.T) {
	// Guards against a verdict from too few runs to estimate their variation.
	c := qt.New(t)
	_, err := compare.Compare(run(1, 50, 0, 1), []compare.Run{run(2, 50, 0, 1), run(3, 50, 0, 1)})
	c.Assert(err, qt.Equals, compare.ErrTooFew)
}
