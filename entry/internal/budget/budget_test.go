package budget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/budget"
)

// Guards against retries that overload the remaining replicas when a third of all attempts fail: if each were sent
// again, the load on the others would rise by half. Retries must stay within the configured percentage and the burst.
func TestExtraAttemptsStayWithinPercentage(t *testing.T) {
	for _, test := range []struct {
		percent float64
		queries int
		most    int
	}{
		{10, 1000, 6900 + 10},
		{3, 1000, 2070 + 10},
		{0, 1000, 10},
	} {
		b := budget.New()
		taken := 0
		for range test.queries {
			b.Credit(69, test.percent)
			for range 23 {
				if b.Take() {
					taken++
				}
			}
		}
		qt.Assert(t, taken <= test.most, qt.IsTrue, qt.Commentf("%v%%: %d taken", test.percent, taken))
		qt.Assert(t, taken >= min(test.most-10, test.queries*23)*9/10, qt.IsTrue, qt.Commentf("%v%%: %d taken", test.percent, taken))
	}
}
