package baselatency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/baselatency"
)

const calm = 10 * time.Millisecond

// estimateAfter returns the estimate after a calm median and then, for span, ten observations per second of another
// median.
func estimateAfter(t *baselatency.Estimator, median, span time.Duration, refused bool) time.Duration {
	now := time.Unix(1000, 0)
	t.Observe(now, calm)
	for range int(span / (100 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		if refused {
			t.Refused(now)
		}
		t.Observe(now, median)
	}
	return t.Get()
}

// Guards against taking queueing for work: during a burst of 20 s, in which replies take three times as long, the
// estimate must rise little, or more and more requests would be admitted.
func TestBurstIsNotTakenForWork(t *testing.T) {
	got := estimateAfter(&baselatency.Estimator{}, 3*calm, 20*time.Second, false)
	qt.Assert(t, got < calm*5/4, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against taking slow replicas for queueing, which would refuse all requests for good. All replicas become four
// times slower under low load: while requests are refused, the estimate must reach the new time within seconds, and it
// must fall at once after they recover.
func TestSlowReplicasRaiseTheEstimate(t *testing.T) {
	var estimator baselatency.Estimator
	got := estimateAfter(&estimator, 4*calm, 3*time.Second, true)
	qt.Assert(t, got, qt.Equals, 4*calm)
	estimator.Observe(time.Unix(2000, 0), calm)
	qt.Assert(t, estimator.Get(), qt.Equals, calm)
}
