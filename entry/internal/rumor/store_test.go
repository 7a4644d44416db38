package rumor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/digest"
)

func newStore() *Store { return New(clock.System{}, func() int { return 7 }) }

func rumorOf(key string, number uint64, life time.Duration) Rumor {
	return Rumor{Kind: KindQuarantine, Service: "ticket-desk", Key: key, Number: number, Expires: time.Now().Add(life)}
}

// Guards against a quarantine that is lifted on some hosts only, since another host still sends the old rumor: the
// higher number must win on every host in whatever order the two arrive, and both must expire.
func TestHighestNumberWinsInEveryOrder(t *testing.T) {
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			var list []Rumor
			for i := range 20 {
				list = append(list, rumorOf(fmt.Sprint(i%3), rnd.Uint64N(4), time.Duration(1+rnd.IntN(5))*time.Minute))
			}
			a, b := newStore(), newStore()
			a.Merge(list)
			rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			for _, r := range list {
				b.Merge([]Rumor{r, list[0]})
			}
			c.Assert(digest.Total(a.Entries()), qt.Equals, digest.Total(b.Entries()), qt.Commentf("seed %d", seed))
			time.Sleep(6 * time.Minute)
			c.Assert(a.Len(), qt.Equals, 0)
		})
	}
}

// Guards against a broken host that floods the others with rumors: memory must stay bounded, all hosts must keep the
// same rumors, a body that is too large must be rejected, and a lifetime that is too long must be cut.
func TestFloodStaysBoundedAndAlikeOnAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var list []Rumor
		for i := range MaxRumors + 50 {
			list = append(list, rumorOf(fmt.Sprint(i), 1, time.Minute+time.Duration(i)*time.Millisecond))
		}
		a, b := newStore(), newStore()
		a.Merge(list)
		for i := range list {
			b.Merge(list[len(list)-1-i : len(list)-i])
		}
		c.Assert(a.Len(), qt.Equals, MaxRumors)
		c.Assert(digest.Total(a.Entries()), qt.Equals, digest.Total(b.Entries()))
		c.Assert(len(a.Take()) <= maxPerMessage, qt.IsTrue)

		large := rumorOf("large", 1, time.Minute)
		large.Body = make([]byte, MaxBodyBytes+1)
		_, err := newStore().Publish(large)
		c.Assert(err, qt.ErrorIs, ErrInvalid)
		long := newStore()
		_, err = long.Publish(rumorOf("long", 1, 1000*time.Hour))
		c.Assert(err, qt.IsNil)
		time.Sleep(MaxLifetime + time.Second)
		c.Assert(long.Len(), qt.Equals, 0)
	})
}
