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

func newReplicas(shards int) [][]*replica.Replica {
	table := replica.New(replica.Options{Zone: "osborne-hall"})
	var list []platform.Replica
	for i := range 3 * shards {
		zone := []string{"osborne-hall", "picton-shed", "webberton-room"}[i%3]
		list = append(list, platform.Replica{ID: fmt.Sprintf("r%d", i), Zone: zone, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9000)})
	}
	added, _ := table.Update(list)
	for i, r := range added {
		table.ApplyReply(r, fmt.Sprintf("1=%d/%d", i/3, shards), false)
		now := time.Now()
		r.Limit.RecordReply(now, 1, 5, 0)
		r.Limit.RecordReply(now, 2, 5, 0)
	}
	return table.View().Versions[0].Holders
}

func newIntN() func(n int) int { return rand.New(rand.NewPCG(1, 1)).IntN }

// Guards against sending more attempts to a replica that has stopped answering, for example since its machine swaps. It
// returns no reply that would raise its mean latency, so the age of its attempts in flight has to count.
func TestStuckReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs := newReplicas(1)
		for _, r := range hs[0] {
			r.Begin(time.Now())
			r.End(time.Now(), 5*time.Millisecond, true)
		}
		stuck, intN := hs[0][1], newIntN()
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

// Guards against avoiding a replica forever after a short slowdown. It gets no attempts that would lower its mean
// latency, so the estimate has to decay with time.
func TestRecoveredReplicaIsSelectedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs := newReplicas(1)
		slow, intN := hs[0][2], newIntN()
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

// Guards against a zone preference that outweighs load or latency. Of three equally fast replicas, the one in the own
// zone gets more attempts but not all; if it is clearly slower than those in other zones, it gets few.
func TestOwnZoneIsPreferredOnlyIfNotSlower(t *testing.T) {
	for _, test := range []struct {
		near        time.Duration
		least, most int
	}{{5 * time.Millisecond, 550, 750}, {8 * time.Millisecond, 0, 50}} {
		synctest.Test(t, func(t *testing.T) {
			hs := newReplicas(1)
			for i, r := range hs[0] {
				r.SetLatency([]time.Duration{test.near, 5 * time.Millisecond, 5 * time.Millisecond}[i])
			}
			intN, near := newIntN(), 0
			for range 1000 {
				r, _ := choice.Pick(intN, time.Now(), hs[0], nil)
				if r.Near {
					near++
				}
			}
			qt.Assert(t, near >= test.least && near <= test.most, qt.IsTrue, qt.Commentf("%d of 1000 attempts went to the own zone", near))
		})
	}
}

// Guards against omitting a shard that could still be queried. If all of its replicas are ejected, they are used
// nevertheless; if the only healthy one is at its limit, the outcome is Busy, so that the shard waits.
func TestOutcomesForEjectedAndFullReplicas(t *testing.T) {
	hs := newReplicas(1)
	now := time.Now()
	for _, r := range hs[0] {
		r.Eject.RequireProbe(now)
	}
	r, verdict := choice.Pick(newIntN(), now, hs[0], nil)
	qt.Assert(t, verdict, qt.Equals, choice.Found)
	qt.Assert(t, r, qt.IsNotNil)
	hs[0][0].Eject.RecordSuccess()
	r, _ = choice.Pick(newIntN(), now, hs[0], nil)
	qt.Assert(t, r, qt.Equals, hs[0][0])
	for range r.Limit.MaxInFlight() {
		r.Begin(now)
	}
	_, verdict = choice.Pick(newIntN(), now, hs[0], nil)
	qt.Assert(t, verdict, qt.Equals, choice.Busy)
	_, verdict = choice.Pick(newIntN(), now, hs[0], hs[0])
	qt.Assert(t, verdict, qt.Equals, choice.None)
}

func BenchmarkPick(b *testing.B) {
	hs := newReplicas(1)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		choice.Pick(rand.IntN, now, hs[0], nil)
	}
}

// BenchmarkPickAll measures all selections of a query over 69 shards with 3 replicas each.
func BenchmarkPickAll(b *testing.B) {
	hs := newReplicas(69)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		for _, list := range hs {
			choice.Pick(rand.IntN, now, list, nil)
			choice.Trial(now, list)
		}
	}
}
