package fanout_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/fanout"
	"guavaspring.org/entry/internal/replica"
)

// If the replicas of a shard are full, a query spends most of its time on the host, before the attempt that is
// answered. If only that attempt is measured, admission takes the upstream for idle and admits more queries, which
// delay the others.
func TestTimeOfAShardCountsFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries, took := 0, []time.Duration(nil)
		s := &fakeSender{}
		runner := fanout.New(fanout.Options{
			Clock: clock.System{}, Answered: func(d time.Duration) { took = append(took, d) },
			Send: s.send(func(*replica.Replica) (upstream.Kind, time.Duration) {
				if tries++; tries == 1 {
					return upstream.KindShed, 10 * ms
				}
				return upstream.KindOK, 5 * ms
			}),
		})
		run(t, runner, table(1), func(req *fanout.Request) { req.Document.Retry.BudgetPercent = 100 })
		qt.Assert(t, took, qt.DeepEquals, []time.Duration{15 * ms})
	})
}
