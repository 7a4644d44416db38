package hedge_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/entry/internal/hedge"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a delay that is below the quantile of the samples, or more than one sixteenth above it.
func TestDelayIsTheQuantileWithinASixteenth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.IntRange(1, 5_000_000), 60, 300).Draw(t, "microseconds")
		p := hedge.New()
		p.SetQuantile(0.9, 50)
		for i, us := range samples {
			now := start
			if i == len(samples)-1 {
				now = start.Add(time.Second)
			}
			p.Observe(now, time.Duration(us)*time.Microsecond)
		}
		slices.Sort(samples)
		want := time.Duration(samples[(9*len(samples)+9)/10-1]) * time.Microsecond
		got := p.Delay()
		if got < min(want, 500*time.Microsecond) || (got > want*17/16+time.Microsecond && got > 500*time.Microsecond) {
			t.Fatalf("delay %v, want %v", got, want)
		}
	})
}

// Guards against hedges while all replicas are saturated and shed load. They would be refused too, or take the slots of
// queries that could be answered, so none is sent until no refusal is left in the window.
func TestNoHedgesIntoSaturatedUpstream(t *testing.T) {
	p := hedge.New()
	now := start
	for range 1000 {
		now = now.Add(time.Millisecond)
		p.Observe(now, 5*time.Millisecond)
	}
	qt.Assert(t, p.Allow(1, 9, 10, false), qt.IsTrue)
	for range 100 {
		now = now.Add(time.Millisecond)
		p.Refused(now)
	}
	qt.Assert(t, p.Allow(1, 9, 10, false), qt.IsFalse)
	for range 5000 {
		now = now.Add(time.Millisecond)
		p.Observe(now, 5*time.Millisecond)
	}
	qt.Assert(t, p.Allow(1, 9, 10, false), qt.IsTrue)
}

// Guards against hedges that only add load: where expensive queries or a slow zone make most shards of a query late at
// once, no other replica would be faster.
func TestNoHedgesWhenManyShardsAreLate(t *testing.T) {
	for _, test := range []struct {
		late, answered, shards int
		again, want            bool
	}{
		{1, 9, 10, false, true}, {2, 8, 10, false, true}, {3, 7, 10, false, false},
		{4, 65, 69, false, true}, {20, 49, 69, false, false}, {1, 0, 1, false, true},
		// A zone is unreachable: two thirds of the shards have answered, the others are still late.
		{20, 49, 69, true, true},
		// An expensive query stays late at all shards.
		{10, 0, 10, true, false},
	} {
		qt.Assert(t, hedge.New().Allow(test.late, test.answered, test.shards, test.again), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func BenchmarkObserve(b *testing.B) {
	p := hedge.New()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		p.Observe(now, time.Duration(rand.IntN(10_000))*time.Microsecond)
	}
}
