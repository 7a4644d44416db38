package quarantine

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet simulates a number of shards that each query of one host is sent to.
type fleet struct {
	models []*shardModel
}

func newFleet(shards int, seed uint64) *fleet {
	f := &fleet{}
	for n := range shards {
		s := newShardModel(1, seed+uint64(n)<<32)
		s.shard = n
		if n > 0 {
			s.hosts = f.models[0].hosts
		}
		f.models = append(f.models, s)
	}
	return f
}

func (f *fleet) query(fp string) {
	var wg sync.WaitGroup
	for _, s := range f.models {
		wg.Go(func() { s.query(s.hosts[0], fp) })
	}
	wg.Wait()
}

// run sends innocent queries every 10 ms, and calls fault 200 ms after the first.
func (f *fleet) run(fault func()) {
	var tasks sync.WaitGroup
	for i := range 60 {
		tasks.Go(func() { f.query(fmt.Sprint("q", i)) })
		if i == 20 {
			tasks.Go(fault)
		}
		time.Sleep(10 * time.Millisecond)
	}
	tasks.Wait()
	time.Sleep(2 * rumorDelay)
}

// sum returns the number of crashes and, of the innocent queries, the numbers of those that failed at a shard and of
// those that were quarantined.
func (f *fleet) sum() (crashes, failed, quarantined int) {
	for _, s := range f.models {
		delete(s.failed, poison)
		delete(s.quarantined, poison)
		crashes += s.crashes
		failed += len(s.failed)
		quarantined += len(s.quarantined)
	}
	return crashes, failed, quarantined
}

// Guards against a silent replica that blocks a suspect's other shards. A request broke connections at two shards, and
// the replica that gets its probe doesn't reply. The other shard must not wait until the request's deadline but be
// retried after 100 ms.
func TestSilentReplicaDoesNotDelayOtherShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newShardModel(1, 1).hosts[0]
		for n := range 2 {
			attempt, err := q.Admit(t.Context(), "q", n, fmt.Sprint("a", n))
			qt.Assert(t, err, qt.IsNil)
			attempt.Broke()
		}
		silent, err := q.Admit(t.Context(), "q", 0, "b0")
		qt.Assert(t, err, qt.IsNil)
		began := time.Now()
		other, err := q.Admit(t.Context(), "q", 1, "b1")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(began), qt.Equals, probeTimeout)
		other.Answered()
		silent.Inconclusive()
	})
}

const fleetSeeds = 100

// Guards against retries of a crashing request at all shards at once. The request is sent to ten shards and crashes ten
// replicas. If its retries are sent together too, they crash several more replicas before the first one proves it
// guilty, and other requests depend on the third replica of a shard.
func TestCrashingRequestCostsOneCrashMoreThanShards(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(10, seed)
			f.run(func() {
				for range 5 {
					f.query(poison)
					time.Sleep(60 * time.Millisecond)
				}
			})
			crashes, failed, quarantined := f.sum()
			qt.Assert(t, []int{crashes, failed, quarantined}, qt.DeepEquals, []int{11, 0, 0}, qt.Commentf("seed %d", seed))
		})
	}
}

// Guards against quarantining innocent requests when a zone is lost. One replica of each of ten shards goes down at the
// same moment. The requests in flight there break at up to ten shards each, and none may be quarantined.
func TestZoneLossDoesNotQuarantineRequests(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(10, seed)
			f.run(func() {
				for _, s := range f.models {
					s.crash(0)
				}
			})
			crashes, failed, quarantined := f.sum()
			qt.Assert(t, []int{crashes, failed, quarantined}, qt.DeepEquals, []int{10, 0, 0}, qt.Commentf("seed %d", seed))
		})
	}
}

// Guards against a late break that shortens the quarantine. A request is quarantined at its second break of one shard,
// and its attempt at another shard breaks a moment later. If that ended the quarantine after 10 s, the caller's repeats
// would crash ten more replicas.
func TestLateBreakDoesNotEndTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newShardModel(1, 1).hosts[0]
		admit := func(n int, replica string) *Attempt {
			attempt, err := q.Admit(t.Context(), poison, n, replica)
			qt.Assert(t, err, qt.IsNil)
			return attempt
		}
		late := admit(1, "a1")
		admit(0, "a0").Broke()
		admit(0, "b0").Broke()
		late.Broke()
		time.Sleep(quarantineTTL - time.Second)
		qt.Assert(t, q.Check(poison).Refused, qt.IsTrue)
	})
}
