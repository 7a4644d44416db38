package bucket_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/entry/internal/bucket"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against tokens that are added at another rate than configured, or beyond the depth.
func TestTokensComeBack(t *testing.T) {
	b := bucket.New(start, 10, 5, 5)
	qt.Assert(t, b.Take(start, 9), qt.Equals, 5)
	qt.Assert(t, b.Take(at(90*time.Millisecond), 1), qt.Equals, 0)
	qt.Assert(t, b.Take(at(100*time.Millisecond), 1), qt.Equals, 1)
	qt.Assert(t, b.Take(at(time.Hour), 99), qt.Equals, 5)
}

// Guards against TakeSpare using the half of the depth that is reserved for Take.
func TestSpareLeavesHalf(t *testing.T) {
	b := bucket.New(start, 10, 6, 6)
	qt.Assert(t, b.TakeSpare(start, 9), qt.Equals, 3)
	qt.Assert(t, b.TakeSpare(start, 1), qt.Equals, 0)
	qt.Assert(t, b.Take(start, 9), qt.Equals, 3)
	qt.Assert(t, b.TakeSpare(start, 1), qt.Equals, 0)
}

// Guards against a bucket that is full after a pause in which it was not used.
func TestResumeAddsNothing(t *testing.T) {
	b := bucket.New(start, 10, 5, 0)
	b.Resume(at(time.Hour))
	qt.Assert(t, b.Take(at(time.Hour), 1), qt.Equals, 0)
}

// Guards against tokens saved under a higher limit remaining after the limit is lowered.
func TestLowerDepthTakesTokens(t *testing.T) {
	b := bucket.New(start, 10, 100, 100)
	b.Set(start, 1, 2)
	qt.Assert(t, b.Take(start, 50), qt.Equals, 2)
	qt.Assert(t, b.Take(at(time.Second), 50), qt.Equals, 1)
}

// Guards against refused requests that are all retried for the same token: each must be served if it is retried after
// the wait that was returned for it.
func TestRefusedAreServedAfterTheirWait(t *testing.T) {
	b := bucket.New(start, 10, 5, 0)
	var due []time.Time
	for range 20 {
		qt.Assert(t, b.Take(start, 1), qt.Equals, 0)
		due = append(due, at(b.Refuse(start)))
	}
	for i, when := range due {
		qt.Assert(t, b.Take(when.Add(time.Microsecond), 1), qt.Equals, 1, qt.Commentf("request %d, after %v", i, when.Sub(start)))
	}
}

// Guards against waits of hours for a caller that is far beyond its limit.
func TestWaitIsBounded(t *testing.T) {
	b := bucket.New(start, 0.1, 1, 0)
	for range 1000 {
		qt.Assert(t, b.Refuse(start) <= 10*time.Second, qt.IsTrue)
	}
	qt.Assert(t, bucket.New(start, 0, 0, 0).Refuse(start), qt.Equals, 10*time.Second)
}

// Guards against more tokens taken in any window than the rate and the depth allow.
func TestNeverOverTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 5 * time.Second
		rate, depth := rapid.Float64Range(0.1, 100).Draw(t, "rate"), rapid.Float64Range(0, 100).Draw(t, "depth")
		b := bucket.New(start, rate, depth, depth)
		var when []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			for range b.Take(now, rapid.IntRange(0, 50).Draw(t, "want")) {
				when = append(when, now)
			}
		}
		for i, from := range when {
			n := 0
			for _, w := range when[i:] {
				if w.Sub(from) < window {
					n++
				}
			}
			if float64(n) > rate*window.Seconds()+depth+1e-6 {
				t.Fatalf("%d tokens taken in %v at a rate of %v per second and a depth of %v", n, window, rate, depth)
			}
		}
	})
}
