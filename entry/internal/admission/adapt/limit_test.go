package adapt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/admission/adapt"
)

const ms = time.Millisecond

// play feeds the limit windows of 100 replies whose time follows from the limit, as it does upstream.
func play(l *adapt.Limit, windows int, took func(limit int) time.Duration) {
	now := time.Unix(1_000_000, 0)
	for range windows {
		for range 100 {
			now = now.Add(ms + 10*time.Microsecond)
			l.Reply(now, took(l.Current()), l.Current())
		}
	}
}

// queued is the reply time of an upstream with slots, at which limit requests are kept.
func queued(slots int) func(limit int) time.Duration {
	return func(limit int) time.Duration {
		return 10 * ms * time.Duration(max(limit, slots)) / time.Duration(slots)
	}
}

// The document allows 64 at once, the upstream has 20 slots today. The limit must end near them, from above
// and from below, and rise to the document's when the upstream has room.
func TestLimitFollowsTheUpstream(t *testing.T) {
	for _, test := range []struct {
		name       string
		most       int
		slots      int
		least, top int
	}{
		{"fewer slots than the document allows", 64, 20, 20, 36},
		{"from below", 400, 150, 130, 240},
		{"room for all", 64, 1000, 64, 64},
		{"a document that allows one", 1, 20, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := adapt.New(test.most)
			play(l, 200, queued(test.slots))
			c.Check(l.Current() >= test.least && l.Current() <= test.top, qt.IsTrue, qt.Commentf("%d", l.Current()))
		})
	}
}

// Every third try goes to a replica that hangs until the deadline. Queries take their whole deadline, but
// fewer of them at once would not make one of them quicker: the limit must stay.
func TestLimitIgnoresADeadShard(t *testing.T) {
	c := qt.New(t)
	l := adapt.New(64)
	play(l, 20, queued(1000))
	n := 0
	play(l, 50, func(limit int) time.Duration {
		c.Assert(limit, qt.Equals, 64)
		n++
		if n%3 == 0 {
			return time.Second
		}
		return 10 * ms
	})
	c.Check(l.Current(), qt.Equals, 64)
}

// A new index version makes every reply three times as slow for good. The limit falls at first, since that
// looks like pressure, and must find its way back rather than stay at the floor.
func TestLimitRecoversFromASlowerUpstream(t *testing.T) {
	c := qt.New(t)
	l := adapt.New(64)
	play(l, 50, queued(1000))
	play(l, 200, func(int) time.Duration { return 30 * ms })
	c.Check(l.Current(), qt.Equals, 64)
}

// One replica after another sheds. Replies that come stay quick, since shed requests take no time.
func TestLimitFallsWhenTriesAreShed(t *testing.T) {
	c := qt.New(t)
	l := adapt.New(64)
	play(l, 50, queued(1000))
	now := time.Unix(2_000_000, 0)
	for i := range 1000 {
		now = now.Add(ms)
		if i%10 == 0 {
			l.Shed(now, l.Current())
			continue
		}
		l.Reply(now, 10*ms, l.Current())
	}
	c.Check(l.Current() < 45, qt.IsTrue, qt.Commentf("%d", l.Current()))
}

// Two hosts use one upstream with 40 slots. One starts an hour after the other, which has all of it by then.
// Their limits must come to be alike with no word between them, or the callers of one host are starved.
func TestLimitsOfTwoHostsBecomeAlike(t *testing.T) {
	c := qt.New(t)
	a, b := adapt.New(64), adapt.New(64)
	play(a, 100, queued(40))
	now := time.Unix(2_000_000, 0)
	for range 100 * 3000 {
		now = now.Add(ms)
		took := queued(40)(a.Current() + b.Current())
		a.Reply(now, took, a.Current())
		b.Reply(now, took, b.Current())
	}
	c.Check(a.Current() < 2*b.Current() && b.Current() < 2*a.Current(), qt.IsTrue, qt.Commentf("%d and %d", a.Current(), b.Current()))
}

func BenchmarkReply(b *testing.B) {
	l := adapt.New(64)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		l.Reply(now, 10*ms, 32)
	}
}
