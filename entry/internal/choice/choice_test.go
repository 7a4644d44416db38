package choice_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/choice"
	"guavaspring.org/entry/internal/replica"
)

func holders(shards int) [][]*replica.Replica {
	table := replica.New(replica.Options{Zone: "osborne-hall"})
	var list []platform.Replica
	for i := range 3 * shards {
		zone := []string{"osborne-hall", "picton-shed", "webberton-room"}[i%3]
		list = append(list, platform.Replica{ID: fmt.Sprintf("r%d", i), Zone: zone, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9000)})
	}
	added, _ := table.Update(list)
	for i, r := range added {
		table.Heard(r, fmt.Sprintf("1=%d/%d", i/3, shards), false)
		now := time.Now()
		r.Limit.Answered(now, 1, 5, 0)
		r.Limit.Answered(now, 2, 5, 0)
	}
	return table.View().Versions[0].Holders
}

func draw() func(n int) int { return rand.New(rand.NewPCG(1, 1)).IntN }

// A replica's host swaps to disk: what it is sent doesn't come back, so there is no answer to learn its
// slowness from. The age of what it still runs tells at once, and the next pages go elsewhere.
func TestStuckReplicaIsNoticedBeforeItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs := holders(1)
		for _, r := range hs[0] {
			r.Begin(time.Now())
			r.End(time.Now(), 5*time.Millisecond, true)
		}
		stuck, intN := hs[0][1], draw()
		stuck.Begin(time.Now())
		time.Sleep(50 * time.Millisecond)
		hs[0][0].Begin(time.Now())
		hs[0][2].Begin(time.Now())
		for range 1000 {
			r, _ := choice.Pick(intN, time.Now(), hs[0], nil)
			qt.Assert(t, r == stuck, qt.IsFalse)
		}
	})
}

// A replica was slow for a moment and has recovered, but nobody sends there any more, since its last answers
// were slow. Its neighbours carry its load for good. What was learned must fade while nothing new is learned.
func TestRecoveredReplicaIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs := holders(1)
		slow, intN := hs[0][2], draw()
		var found time.Duration
		slow.Begin(time.Now())
		slow.End(time.Now(), 100*time.Millisecond, true)
		start := time.Now()
		for found == 0 && time.Since(start) < time.Minute {
			time.Sleep(5 * time.Millisecond)
			r, _ := choice.Pick(intN, time.Now(), hs[0], nil)
			r.Begin(time.Now())
			r.End(time.Now(), 5*time.Millisecond, true)
			if r == slow {
				found = time.Since(start)
			}
		}
		qt.Assert(t, found > time.Second && found < 10*time.Second, qt.IsTrue, qt.Commentf("found after %v", found))
	})
}

// Three replicas are equally quick. The one in the host's own zone gets more, but not all: once it runs more
// than the others they get the next tries, and when it is slower than the way to another zone it gets few.
func TestNearestOnlyWhileItDoesNotHurt(t *testing.T) {
	for _, test := range []struct {
		near        time.Duration
		least, most int
	}{{5 * time.Millisecond, 550, 750}, {8 * time.Millisecond, 0, 50}} {
		synctest.Test(t, func(t *testing.T) {
			hs := holders(1)
			for i, r := range hs[0] {
				r.SetLatency([]time.Duration{test.near, 5 * time.Millisecond, 5 * time.Millisecond}[i])
			}
			intN, near := draw(), 0
			for range 1000 {
				r, _ := choice.Pick(intN, time.Now(), hs[0], nil)
				if r.Near {
					near++
				}
			}
			qt.Assert(t, near >= test.least && near <= test.most, qt.IsTrue, qt.Commentf("%d", near))
		})
	}
}

// All replicas of a shard are out, since the whole shard had a bad second. A page without the shard helps
// nobody, so they are used; and a full replica says busy, so that the shard waits instead of being missed.
func TestVerdicts(t *testing.T) {
	hs := holders(1)
	now := time.Now()
	for _, r := range hs[0] {
		r.Eject.Hold(now)
	}
	r, verdict := choice.Pick(draw(), now, hs[0], nil)
	qt.Assert(t, verdict, qt.Equals, choice.Found)
	qt.Assert(t, r, qt.IsNotNil)
	hs[0][0].Eject.Good()
	r, _ = choice.Pick(draw(), now, hs[0], nil)
	qt.Assert(t, r, qt.Equals, hs[0][0])
	for range r.Limit.Most() {
		r.Begin(now)
	}
	_, verdict = choice.Pick(draw(), now, hs[0], nil)
	qt.Assert(t, verdict, qt.Equals, choice.Busy)
	_, verdict = choice.Pick(draw(), now, hs[0], hs[0])
	qt.Assert(t, verdict, qt.Equals, choice.None)
}

func BenchmarkPick(b *testing.B) {
	hs := holders(1)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		choice.Pick(rand.IntN, now, hs[0], nil)
	}
}

// BenchmarkPickAll is the whole choice of a query over 69 shards x 3.
func BenchmarkPickAll(b *testing.B) {
	hs := holders(69)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		for _, list := range hs {
			choice.Pick(rand.IntN, now, list, nil)
			choice.Trial(now, list)
		}
	}
}
