package quarantine

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet is ten shards that one host's queries all go to at once.
type fleet struct {
	sites []*site
}

func newFleet(shards int, seed uint64) *fleet {
	f := &fleet{}
	for n := range shards {
		s := newSite(1, seed+uint64(n)<<32)
		s.shard = n
		if n > 0 {
			s.hosts = f.sites[0].hosts
		}
		f.sites = append(f.sites, s)
	}
	return f
}

func (f *fleet) query(fp string) {
	var wg sync.WaitGroup
	for _, s := range f.sites {
		wg.Go(func() { s.query(s.hosts[0], fp) })
	}
	wg.Wait()
}

// play sends queries of quilters every 10 ms, and calls fault 200 ms after the first.
func (f *fleet) play(fault func()) {
	var tasks sync.WaitGroup
	for i := range 60 {
		tasks.Go(func() { f.query(fmt.Sprint("q", i)) })
		if i == 20 {
			tasks.Go(fault)
		}
		time.Sleep(10 * time.Millisecond)
	}
	tasks.Wait()
	time.Sleep(2 * spread)
}

// sum returns the crashes, and how many tries of innocents were lost and how many innocents blamed.
func (f *fleet) sum() (crashes, lost, blamed int) {
	for _, s := range f.sites {
		delete(s.lost, poison)
		delete(s.blamed, poison)
		crashes += s.crashes
		lost += len(s.lost)
		blamed += len(s.blamed)
	}
	return crashes, lost, blamed
}

// A lookup broke at two shards, and the replica that gets its first second try has fallen silent. The other shard must
// not wait for it until the page's deadline: after 100 ms it is tried too.
func TestSilentReplicaDoesNotHoldTheOtherShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newSite(1, 1).hosts[0]
		for n := range 2 {
			try, err := q.Enter(t.Context(), "q", n, fmt.Sprint("a", n))
			qt.Assert(t, err, qt.IsNil)
			try.Broke()
		}
		silent, err := q.Enter(t.Context(), "q", 0, "b0")
		qt.Assert(t, err, qt.IsNil)
		began := time.Now()
		other, err := q.Enter(t.Context(), "q", 1, "b1")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(began), qt.Equals, patience)
		other.Answered()
		silent.Left()
	})
}

const fleetSeeds = 100

// A lookup that crashes upstreams goes to ten shards at once and breaks ten replicas. Its second tries leave together
// too: before the first of them has proved it guilty, several more replicas are down, and pages wait for the third of a
// shard.
func TestCrashingRequestCostsOneCrashMoreThanShards(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(10, seed)
			f.play(func() {
				for range 5 {
					f.query(poison)
					time.Sleep(60 * time.Millisecond)
				}
			})
			crashes, lost, blamed := f.sum()
			qt.Assert(t, []int{crashes, lost, blamed}, qt.DeepEquals, []int{11, 0, 0}, qt.Commentf("seed %d", seed))
		})
	}
}

// One replica of each of ten shards dies at the same moment for a reason of its own, as with the loss of a zone. The
// lookups that ran there break at up to ten shards each, and none is guilty.
func TestInnocentsOfAZoneThatDiesAreAnswered(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(10, seed)
			f.play(func() {
				for _, s := range f.sites {
					s.crash(0)
				}
			})
			crashes, lost, blamed := f.sum()
			qt.Assert(t, []int{crashes, lost, blamed}, qt.DeepEquals, []int{10, 0, 0}, qt.Commentf("seed %d", seed))
		})
	}
}

// A lookup is quarantined at its second break of one shard, and the try of another shard breaks a moment later. That
// break must not end the quarantine early: after 10 s its caller would take down ten replicas once more.
func TestLateBreakDoesNotEndTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newSite(1, 1).hosts[0]
		enter := func(n int, replica string) *Try {
			try, err := q.Enter(t.Context(), poison, n, replica)
			qt.Assert(t, err, qt.IsNil)
			return try
		}
		late := enter(1, "a1")
		enter(0, "a0").Broke()
		enter(0, "b0").Broke()
		late.Broke()
		time.Sleep(held - time.Second)
		qt.Assert(t, q.Check(poison).Refused, qt.IsTrue)
	})
}
