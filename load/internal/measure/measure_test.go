package measure_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/measure"
)

func TestSummaryOfARun(t *testing.T) {
	// Guards against queries counted under the wrong measure: after the warmup there are a complete, a complete but late,
	// a partial, an unanswered and a refused one; one query is the hot caller's, one falls into the warmup.
	c := qt.New(t)
	at := 2 * time.Second
	ms := time.Millisecond
	sum := measure.Summarize([]measure.Sample{
		{At: time.Second, Took: 900 * ms, Outcome: caller.OutcomeComplete, Share: 1},
		{At: at, Took: 10 * ms, Outcome: caller.OutcomeComplete, Share: 1},
		{At: at, Took: 500 * ms, Outcome: caller.OutcomeComplete, Share: 1, Late: true, Hot: true},
		{At: at, Took: 20 * ms, Outcome: caller.OutcomePartial, Share: 0.9},
		{At: at, Took: 30 * ms, Outcome: measure.OutcomeError},
		{At: at, Took: 40 * ms, Refusal: 2 * ms, Outcome: caller.OutcomeRefused},
	}, 2*time.Second, 4*time.Second)

	c.Assert([]int{sum.Offered, sum.Refused, sum.Errors, sum.Late}, qt.DeepEquals, []int{5, 1, 1, 1})
	c.Assert(sum.Complete.N, qt.Equals, 2)
	c.Assert(sum.All.N, qt.Equals, 4)
	c.Assert(sum.Others.Max < 31, qt.IsTrue)
	c.Assert(sum.Refusals.P99 < 3, qt.IsTrue)
	c.Assert(sum.CoverageMean, qt.Equals, 2.9/4)
	c.Assert(sum.CoverageWorst, qt.Equals, 0.0)
	c.Assert(sum.CompleteShare, qt.Equals, 0.5)
	c.Assert(sum.Goodput, qt.Equals, 0.5)
	c.Assert(sum.OthersCompleteShare, qt.Equals, 0.25)
}
