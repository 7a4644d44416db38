package adapt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/admission/adapt"
)

const ms = time.Millisecond

// feedReplies feeds the limit windows of 100 replies whose latency depends on the limit, as with a real upstream.
func feedReplies(l *adapt.Limit, windows int, took func(limit int) time.Duration) {
	now := time.Unix(1_000_000, 0)
	for range windows {
		for range 100 {
			now = now.Add(ms + 10*time.Microsecond)
			l.RecordReply(now, took(l.Current()), l.Current())
		}
	}
}

// queueingLatency returns the latency of an upstream with the given slots while limit requests are sent to it at once.
func queueingLatency(slots int) func(limit int) time.Duration {
	return func(limit int) time.Duration {
		return 10 * ms * time.Duration(max(limit, slots)) / time.Duration(slots)
	}
}

// Guards against a limit that stays away from the upstream's capacity: the cap is higher than the number of slots, for
// example 64 and 20. The limit must approach the number of slots from above and below, and the cap if that is lower.
func TestLimitFollowsUpstreamCapacity(t *testing.T) {
	for _, test := range []struct {
		name       string
		most       int
		slots      int
		least, top int
	}{
		{"fewer slots than the cap", 64, 20, 20, 36},
		{"limit approaches slots from below", 400, 150, 130, 240},
		{"more slots than the cap", 64, 1000, 64, 64},
		{"cap of one", 1, 20, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := adapt.New(test.most)
			feedReplies(l, 200, queueingLatency(test.slots))
			c.Check(l.Current() >= test.least && l.Current() <= test.top, qt.IsTrue, qt.Commentf("%d", l.Current()))
		})
	}
}

// Guards against a limit that decreases because of one failed shard: every third attempt hangs until the deadline, but
// fewer concurrent queries would not make any of them faster.
func TestLimitIgnoresFailedShard(t *testing.T) {
	c := qt.New(t)
	l := adapt.New(64)
	feedReplies(l, 20, queueingLatency(1000))
	n := 0
	feedReplies(l, 50, func(limit int) time.Duration {
		c.Assert(limit, qt.Equals, 64)
		n++
		if n%3 == 0 {
			return time.Second
		}
		return 10 * ms
	})
	c.Check(l.Current(), qt.Equals, 64)
}

// Guards against a limit that stays at its minimum after the upstream has become permanently three times as slow, for
// example by a new index version. The limit decreases at first, since that looks like overload, and must recover.
func TestLimitRecoversFromSlowerUpstream(t *testing.T) {
	c := qt.New(t)
	l := adapt.New(64)
	feedReplies(l, 50, queueingLatency(1000))
	feedReplies(l, 200, func(int) time.Duration { return 30 * ms })
	c.Check(l.Current(), qt.Equals, 64)
}

// Guards against a limit that ignores shed attempts: replicas shed one attempt in ten, while the latency of the other
// replies does not rise.
func TestLimitDecreasesWhenAttemptsAreShed(t *testing.T) {
	c := qt.New(t)
	l := adapt.New(64)
	feedReplies(l, 50, queueingLatency(1000))
	now := time.Unix(2_000_000, 0)
	for i := range 1000 {
		now = now.Add(ms)
		if i%10 == 0 {
			l.RecordShed(now, l.Current())
			continue
		}
		l.RecordReply(now, 10*ms, l.Current())
	}
	c.Check(l.Current() < 45, qt.IsTrue, qt.Commentf("%d", l.Current()))
}

// Guards against starved callers of one of two hosts that share an upstream with 40 slots: one host starts long after
// the other, which uses all slots by then. Their limits must converge without coordination.
func TestLimitsOfTwoHostsConverge(t *testing.T) {
	c := qt.New(t)
	a, b := adapt.New(64), adapt.New(64)
	feedReplies(a, 100, queueingLatency(40))
	now := time.Unix(2_000_000, 0)
	for range 100 * 3000 {
		now = now.Add(ms)
		took := queueingLatency(40)(a.Current() + b.Current())
		a.RecordReply(now, took, a.Current())
		b.RecordReply(now, took, b.Current())
	}
	c.Check(a.Current() < 2*b.Current() && b.Current() < 2*a.Current(), qt.IsTrue, qt.Commentf("%d and %d", a.Current(), b.Current()))
}

func BenchmarkReply(b *testing.B) {
	l := adapt.New(64)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		l.RecordReply(now, 10*ms, 32)
	}
}
