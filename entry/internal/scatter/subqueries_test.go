package scatter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/route"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/records"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/entry/internal/scatter"
	"guavaspring.org/entry/internal/subquery"
)

const (
	// manyShards is the number of shards of a query; those from firstFarShard on, half of them, have no replica in the
	// zone of the host that receives the query.
	manyShards    = 20
	firstFarShard = manyShards / 2
)

// hostPair is a host in zone a that receives queries, and one in zone b that gathers parts of them. Shards from
// firstFarShard on have replicas in zones b and c only, the others in a and c.
type hostPair struct {
	*testHost
	other                     *testHost
	server                    *subquery.Server
	inZoneA                   []*replicatest.Replica
	inZoneB                   []*replicatest.Replica
	inZoneC                   []*replicatest.Replica
	dropped, failed, gathered atomic.Int64
}

// peerHooks intercept the calls from the host in zone a to the other one; nil means that a call is made directly.
type peerHooks struct {
	gather func(ctx context.Context, args *subquery.Args, direct func() (subquery.Reply, error)) (subquery.Reply, error)
	rest   func(ctx context.Context, args *subquery.RestArgs, direct func() (subquery.Reply, error)) (subquery.Reply, error)
}

// recordOf returns the only record of a shard.
func recordOf(shard int) string { return fmt.Sprintf("record-of-s%05d", shard)[:16] }

func newHostPair(t *testing.T, s peerHooks) *hostPair {
	farm := replicatest.New()
	t.Cleanup(farm.Close)
	p := &hostPair{other: newHostInZone("b", farm, 50, 0.5, scatter.Subqueries{})}
	p.server = subquery.NewServer(subquery.Options{
		Clock: clock.System{}, Service: p.other.table.Service, Version: func() int64 { return 0 }, Leaving: func() bool { return false },
		Quarantine: p.other.quarantine, Draw: func() float64 { return 0 },
	})
	p.testHost = newHostInZone("a", farm, 50, 0.5, scatter.Subqueries{
		Zones: func() []string { return []string{"b"} }, Peer: func(zone string) (subquery.Peer, bool) { return p.peer(s), zone == "b" },
		Failed: func(subquery.Peer, error) { p.failed.Add(1) },
	})
	for i := range manyShards {
		zone := "a"
		if i >= firstFarShard {
			zone = "b"
		}
		name := fmt.Sprintf("s%d", i)
		first := farm.Add(name, 1, replicatest.OK(name+"-1", 30*time.Millisecond, recordOf(i)))
		first.Row.Zone = zone
		second := farm.Add(name, 2, replicatest.OK(name+"-2", 30*time.Millisecond, recordOf(i)))
		second.Row.Zone = "c"
		p.inZoneC = append(p.inZoneC, second)
		if i < firstFarShard {
			p.inZoneA = append(p.inZoneA, first)
		} else {
			p.inZoneB = append(p.inZoneB, first)
		}
	}
	p.seedLatency()
	p.other.table.Replace(farm.Batch(), false)
	return p
}

func (p *hostPair) peer(s peerHooks) subquery.Peer {
	return subquery.Peer{
		ID: "other", Name: "other", Zone: "b",
		Gather: func(ctx context.Context, args *subquery.Args) (subquery.Reply, error) {
			p.gathered.Add(1)
			direct := func() (subquery.Reply, error) {
				var rep subquery.Reply
				err := p.server.Gather(args, &rep)
				return rep, err
			}
			if s.gather != nil {
				return s.gather(ctx, args, direct)
			}
			return direct()
		},
		Rest: func(ctx context.Context, args *subquery.RestArgs) (subquery.Reply, error) {
			direct := func() (subquery.Reply, error) {
				var rep subquery.Reply
				err := p.server.Rest(args, &rep)
				return rep, err
			}
			if s.rest != nil {
				return s.rest(ctx, args, direct)
			}
			return direct()
		},
		Drop: func(job uint64) {
			p.dropped.Add(1)
			_ = p.server.Drop(&subquery.DropArgs{Job: job}, nil)
		},
	}
}

func manyShardRoute() *route.Route {
	rt := &route.Route{Idempotent: true, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2, TopK: 50, LeastShare: 0.9}
	for i := range manyShards {
		rt.Shards = append(rt.Shards, fmt.Sprintf("s%d", i))
	}
	return rt
}

// mergedPage returns the merged records that a client receives, and the number of distinct shards among the results.
func mergedPage(rep *scatter.Report, rt *route.Route) ([]byte, int) {
	var parts [][]byte
	named := map[string]bool{}
	for _, res := range rep.Results {
		if res.Kind == upstream.KindOK {
			parts = append(parts, res.Body)
			named[res.Reply.Stamp] = true
		}
	}
	return records.Top(parts, rt.TopK), len(named)
}

// checkPage fails unless the merged records are exactly those of the shards reported as answered, once each.
func checkPage(t *testing.T, rep *scatter.Report, rt *route.Route) {
	t.Helper()
	body, named := mergedPage(rep, rt)
	var want [][]byte
	for i, res := range rep.Results {
		if res.Kind == upstream.KindOK {
			want = append(want, []byte(recordOf(i)))
		}
	}
	qt.Check(t, named, qt.Equals, len(want))
	qt.Check(t, rep.Answered, qt.Equals, len(want))
	qt.Check(t, string(body), qt.Equals, string(records.Top(want, rt.TopK)))
}

// checkAttempts fails if a shard's request reached more replicas than the route allows, ran twice at one of them, was
// resent to a replica that had not shed it, or was resent more than three times in all.
func (p *hostPair) checkAttempts(t *testing.T, rt *route.Route) {
	t.Helper()
	for i := range manyShards {
		all := append(append([]*replicatest.Replica{}, p.inZoneA...), p.inZoneB...)
		replicas, again := 0, 0
		for _, r := range []*replicatest.Replica{all[i], p.inZoneC[i]} {
			runs, arrivals := len(r.Runs()), r.Arrivals()
			qt.Check(t, runs <= 1, qt.IsTrue, qt.Commentf("shard %d: %d runs at one replica", i, runs))
			if arrivals > 0 {
				replicas++
				again += arrivals - 1
			}
			qt.Check(t, arrivals <= 1 || runs < arrivals && r.TurnedAway() >= arrivals-1, qt.IsTrue, qt.Commentf("shard %d: %d arrivals, %d runs", i, arrivals, runs))
		}
		qt.Check(t, replicas <= rt.Attempts && again <= 3, qt.IsTrue, qt.Commentf("shard %d: %d replicas, %d times again", i, replicas, again))
	}
}

// Half of the shards of a query have no replica in the zone of its host. Their parts must come through one host in a
// zone that holds them, instead of crossing the zone boundary one by one; the answer must be complete, and no shard may
// be asked twice.
func TestFarShardsComeThroughOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		rt := manyShardRoute()
		rep, took := p.ask(t.Context(), rt)
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Complete)
		qt.Check(t, rep.Through, qt.Equals, manyShards-firstFarShard)
		qt.Check(t, p.gathered.Load(), qt.Equals, int64(1))
		qt.Check(t, rep.Hedges+rep.Retries, qt.Equals, 0)
		qt.Check(t, took < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		qt.Check(t, p.table.Dialed(), qt.Equals, uint64(firstFarShard))
		checkPage(t, &rep, rt)
		p.checkAttempts(t, rt)
		time.Sleep(time.Second)
		qt.Check(t, p.server.Running(), qt.Equals, 0)
	})
}

// A route has an objective of 80 ms. A few milliseconds of delay at a second host would make it miss the objective, so
// each shard must be asked directly.
func TestUrgentRoutesAskDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		rt := manyShardRoute()
		rt.Objective = 80 * time.Millisecond
		rep, _ := p.ask(t.Context(), rt)
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Complete)
		qt.Check(t, rep.Through, qt.Equals, 0)
		qt.Check(t, p.gathered.Load(), qt.Equals, int64(0))
		checkPage(t, &rep, rt)
		time.Sleep(time.Second)
	})
}

// Guards against queries that fail because of their size: each message to another host holds a copy of the body, and hosts
// close connections on which a message is too large.
func TestLargeQueriesAskDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		rt := manyShardRoute()
		rep, _ := p.askWith(t.Context(), rt, "/x", make([]byte, 2<<20))
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Complete)
		qt.Check(t, rep.Through, qt.Equals, 0)
		qt.Check(t, p.gathered.Load(), qt.Equals, int64(0))
		checkPage(t, &rep, rt)
		time.Sleep(time.Second)
	})
}

// A replica pauses behind another host. The answer must not wait for it: that host reports the shard as pending, and
// the hedge goes to a replica that it did not ask. The late part of the paused replica must not add the shard's records
// a second time.
func TestPauseBehindAnotherHostIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		p.inZoneB[3].Handle = replicatest.OK("late", 280*time.Millisecond, recordOf(firstFarShard+3))
		rt := manyShardRoute()
		rep, took := p.ask(t.Context(), rt)
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Complete)
		qt.Check(t, rep.Hedges, qt.Equals, 1)
		qt.Check(t, took < 75*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		checkPage(t, &rep, rt)
		p.checkAttempts(t, rt)
		time.Sleep(2 * time.Second)
		qt.Check(t, p.server.Running(), qt.Equals, 0)
	})
}

// Most replicas behind another host answer shortly after that host's first reply, and one pauses. Their parts must be
// merged as they arrive and not after the pause: otherwise nearly all of them would be requested twice.
func TestPartsDoNotWaitForAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		for i, r := range p.inZoneB {
			// Hedges are sent after 34.5 ms.
			took := 37 * time.Millisecond
			if i == 3 {
				took = 280 * time.Millisecond
			}
			r.Handle = replicatest.OK(r.Row.ID, took, recordOf(firstFarShard+i))
		}
		rt := manyShardRoute()
		rt.Attempts = 1
		rt.LeastShare = 0.95
		rep, took := p.ask(t.Context(), rt)
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Partial)
		qt.Check(t, rep.Answered, qt.Equals, manyShards-1)
		qt.Check(t, took <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		checkPage(t, &rep, rt)
		time.Sleep(2 * time.Second)
	})
}

var errConnectionBroke = errors.New("the connection broke")

// The other host is unreachable, is leaving, does not answer, fails after sending its attempts, or replies late. In
// each case the answer must be in time, within the attempts that the route allows, and from replicas that the other
// host did not ask, if it may have asked any.
func TestPeerFailure(t *testing.T) {
	tests := []struct {
		name string
		s    peerHooks
		by   time.Duration
		// extra is the number of shards that need a second attempt, and failed the number of reported failures of the
		// host.
		extra  int
		failed int64
	}{
		{"gone", peerHooks{gather: func(context.Context, *subquery.Args, func() (subquery.Reply, error)) (subquery.Reply, error) {
			return subquery.Reply{}, fmt.Errorf("%w: refused", subquery.ErrNotSent)
		}}, 40 * time.Millisecond, 0, 1},
		{"leaving", peerHooks{gather: func(context.Context, *subquery.Args, func() (subquery.Reply, error)) (subquery.Reply, error) {
			return subquery.Reply{Declined: "the host is leaving"}, nil
		}}, 40 * time.Millisecond, 0, 0},
		{"silent", peerHooks{gather: func(ctx context.Context, _ *subquery.Args, _ func() (subquery.Reply, error)) (subquery.Reply, error) {
			<-ctx.Done()
			return subquery.Reply{}, ctx.Err()
		}}, 100 * time.Millisecond, manyShards - firstFarShard, 1},
		{"lost after sending its attempts", peerHooks{gather: func(_ context.Context, _ *subquery.Args, direct func() (subquery.Reply, error)) (subquery.Reply, error) {
			_, _ = direct()
			return subquery.Reply{}, errConnectionBroke
		}}, 100 * time.Millisecond, manyShards - firstFarShard, 1},
		{"late with all parts", peerHooks{gather: func(_ context.Context, _ *subquery.Args, direct func() (subquery.Reply, error)) (subquery.Reply, error) {
			rep, err := direct()
			time.Sleep(40 * time.Millisecond)
			return rep, err
		}}, 100 * time.Millisecond, manyShards - firstFarShard, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newHostPair(t, test.s)
				rt := manyShardRoute()
				rep, took := p.ask(t.Context(), rt)
				qt.Check(t, rep.Ending, qt.Equals, scatter.Complete)
				qt.Check(t, took <= test.by, qt.IsTrue, qt.Commentf("%v", took))
				qt.Check(t, rep.Hedges+min(rep.Retries, test.extra), qt.Equals, test.extra)
				checkPage(t, &rep, rt)
				p.checkAttempts(t, rt)
				time.Sleep(3 * time.Second)
				qt.Check(t, p.failed.Load(), qt.Equals, test.failed)
			})
		})
	}
}

// The other host reports pending shards, and then restarts or is too busy to keep the subquery. The shards must not be
// waited for in vain: their attempts count as failed, and shards without a second attempt get one.
func TestSubqueryEndedByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{rest: func(context.Context, *subquery.RestArgs, func() (subquery.Reply, error)) (subquery.Reply, error) {
			return subquery.Reply{Forgotten: true}, nil
		}})
		p.inZoneB[3].Handle = replicatest.OK("never", time.Hour, recordOf(firstFarShard+3))
		p.inZoneC[firstFarShard+3].Handle = replicatest.Broken(10 * time.Millisecond)
		rt := manyShardRoute()
		rep, took := p.ask(t.Context(), rt)
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Partial)
		qt.Check(t, rep.Answered, qt.Equals, manyShards-1)
		qt.Check(t, took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		checkPage(t, &rep, rt)
		p.checkAttempts(t, rt)
		time.Sleep(2 * time.Hour)
	})
}

// A route allows three attempts and requires all shards. One replica behind another host hangs for 900 ms, is reported
// as pending repeatedly, and then fails; the hedge fails at once. Meanwhile a third replica is listed. It must be
// tried: four reports of the same pending attempt are not four attempts.
func TestRepeatedPendingIsOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		const shard = firstFarShard + 3
		p.inZoneB[3].Handle = replicatest.Broken(900 * time.Millisecond)
		p.inZoneC[shard].Handle = replicatest.Broken(10 * time.Millisecond)
		third := p.farm.Add(fmt.Sprintf("s%d", shard), 3, replicatest.OK("third", 30*time.Millisecond, recordOf(shard)))
		third.Row.Zone = "d"
		time.AfterFunc(800*time.Millisecond, func() { p.table.Replace(p.farm.Batch(), false) })
		rt := manyShardRoute()
		rt.Attempts, rt.LeastShare = 3, 1
		rep, _ := p.ask(t.Context(), rt)
		qt.Check(t, rep.Ending, qt.Equals, scatter.Complete)
		qt.Check(t, third.Arrivals(), qt.Equals, 1)
		checkPage(t, &rep, rt)
		time.Sleep(2 * time.Second)
	})
}

// A client disconnects while another host gathers parts from slow replicas. Their attempts must be canceled.
func TestClientGoneEndsTheTriesOfOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		for i, r := range p.inZoneB {
			r.Handle = replicatest.OK("slow", time.Second, recordOf(firstFarShard+i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		rep, _ := p.ask(ctx, manyShardRoute())
		qt.Assert(t, rep.Ending, qt.Equals, scatter.ClientGone)
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, p.dropped.Load(), qt.Equals, int64(1))
		qt.Check(t, p.server.Running(), qt.Equals, 0)
		time.Sleep(3 * time.Second)
	})
}

// Replicas answer late, fail, break or pause at random, and so does the connection to the other host. In any order of
// events, an answer must hold the records of exactly the shards that it reports, and no shard may get more attempts
// than the route allows.
func TestRandomSubqueriesMatchReport(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			delay := func(most int) time.Duration { return time.Duration(rnd.IntN(most)) * time.Millisecond }
			there, back, restBack, breaks := delay(60), delay(90), delay(200), rnd.IntN(4) == 0
			p := newHostPair(t, peerHooks{
				gather: func(_ context.Context, _ *subquery.Args, direct func() (subquery.Reply, error)) (subquery.Reply, error) {
					time.Sleep(there)
					rep, err := direct()
					time.Sleep(back)
					return rep, err
				},
				rest: func(_ context.Context, _ *subquery.RestArgs, direct func() (subquery.Reply, error)) (subquery.Reply, error) {
					rep, err := direct()
					time.Sleep(restBack)
					if breaks {
						return subquery.Reply{}, errConnectionBroke
					}
					return rep, err
				},
			})
			for _, list := range [][]*replicatest.Replica{p.inZoneA, p.inZoneB, p.inZoneC} {
				for i, r := range list {
					shard := i
					if len(list) == len(p.inZoneB) && r.Row.Zone == "b" {
						shard += firstFarShard
					}
					r.Handle = randomHandler(rnd, r.Row.ID, shard)
				}
			}
			rt := manyShardRoute()
			rep, _ := p.ask(t.Context(), rt)
			if rep.Ending == scatter.Complete || rep.Ending == scatter.Partial {
				checkPage(t, &rep, rt)
			}
			p.checkAttempts(t, rt)
			time.Sleep(5 * time.Second)
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
}

// randomHandler returns a randomly chosen behavior of a replica.
func randomHandler(rnd *rand.Rand, name string, shard int) func(*http.Request, []byte) replicatest.Answer {
	switch rnd.IntN(8) {
	case 0:
		return replicatest.OK(name, time.Duration(rnd.IntN(400))*time.Millisecond, recordOf(shard))
	case 1:
		return replicatest.Broken(time.Duration(rnd.IntN(50)) * time.Millisecond)
	case 2:
		return replicatest.Full()
	}
	return replicatest.OK(name, time.Duration(20+rnd.IntN(30))*time.Millisecond, recordOf(shard))
}

// Guards against late replies that are discarded without a trace, at this host and at the one that gathers some parts.
func TestLateRepliesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHostPair(t, peerHooks{})
		for _, r := range []*replicatest.Replica{p.inZoneA[0], p.inZoneB[0]} {
			ok := r.Handle
			r.Handle = func(req *http.Request, body []byte) replicatest.Answer {
				a := ok(req, body)
				a.Late, a.LateNext = a.Raw, true
				return a
			}
		}
		rt := manyShardRoute()
		rep, _ := p.ask(t.Context(), rt)
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Complete)
		time.Sleep(100 * time.Millisecond)
		rep, _ = p.ask(t.Context(), rt)
		qt.Assert(t, rep.Ending, qt.Equals, scatter.Complete)
		checkPage(t, &rep, rt)
		late := map[int]string{}
		for _, st := range rep.Steps {
			if st.What == scatter.Discarded {
				late[st.Shard] = st.Why
			}
		}
		qt.Check(t, late, qt.DeepEquals, map[int]string{0: `a late reply to request "q1"`, firstFarShard: `a late reply to request "q1"`})
		time.Sleep(3 * time.Second)
	})
}
