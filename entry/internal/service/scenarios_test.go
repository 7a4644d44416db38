package service_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/document"
	"guavaspring.org/entry/internal/service"
)

// scenario is a load and a fault, simulated in virtual time against the service or the baseline.
type scenario struct {
	seed   uint64
	prefer document.Preference
	// rate is in queries per second, for the duration lasts; text returns the text of query i.
	rate     float64
	duration time.Duration
	text     func(i int) string
	// hosts is the number of hosts that share the replicas and the load; zero means one.
	hosts int
	// warmup is the duration of the load before the fault begins and results count.
	warmup time.Duration
	// fault is called every 50 ms after warmup, with the time since then.
	fault func(f *simReplicas, s *service.Service, since time.Duration)
}

const scenarioDeadline = 100 * time.Millisecond

func (sc scenario) run(t *testing.T, usePlain bool) (out runResult) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimReplicas(sc.seed, 10, 3)
		f.longFactor = 8
		doc := document.Default()
		doc.Service = "member-search"
		if sc.prefer != "" {
			doc.Prefer = sc.prefer
		}
		reg := prometheus.NewRegistry()
		s := f.service(doc, reg)
		s.Update(t.Context(), f.list())
		ask := queryFunc(s.Query)
		switch {
		case usePlain:
			ask = roundRobin(max(1, sc.hosts), func() queryFunc { return f.baseline(doc) })
		case sc.hosts > 1:
			ask = roundRobin(sc.hosts, func() queryFunc {
				host := f.service(doc, nil)
				host.Update(t.Context(), f.list())
				return host.Query
			})
		}
		out = sc.load(t, f, s, ask)
		out.ejected = countEjections(reg)
		time.Sleep(2 * scenarioDeadline)
	})
	return out
}

func (sc scenario) load(t *testing.T, f *simReplicas, s *service.Service, ask queryFunc) runResult {
	rnd := rand.New(rand.NewPCG(sc.seed, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var fig runResult
	var took []time.Duration
	var cov float64
	start := time.Now()
	var ran0, shed0, needed int
	counting, next := false, time.Duration(0)
	for i := 0; time.Since(start) < sc.warmup+sc.duration; i++ {
		if since := time.Since(start) - sc.warmup; since >= 0 {
			if !counting {
				ran0, shed0 = f.totals()
			}
			counting = true
			if sc.fault != nil && since >= next {
				sc.fault(f, s, since)
				next += 50 * time.Millisecond
			}
		}
		count, text := counting, "short"
		if sc.text != nil {
			text = sc.text(i)
		}
		wg.Go(func() {
			ans, d := timedQuery(t.Context(), ask, fmt.Sprintf("caller%d", i%7), text)
			mu.Lock()
			defer mu.Unlock()
			if !count {
				return
			}
			fig.n++
			switch ans.Outcome {
			case caller.OutcomeComplete:
				fig.complete++
			case caller.OutcomePartial:
				fig.partial++
			case caller.OutcomeRefused:
				fig.refused++
				return
			default:
				fig.failed++
			}
			needed += ans.Coverage.Shards
			cov += ans.Coverage.Share
			if ans.Coverage.Share == 0 && ans.Coverage.Shards > 0 {
				cov += float64(ans.Coverage.Answered) / float64(ans.Coverage.Shards)
			}
			took = append(took, d)
		})
		time.Sleep(time.Duration(rnd.ExpFloat64() / sc.rate * float64(time.Second)))
	}
	wg.Wait()
	slices.Sort(took)
	fig.p50, fig.p99, fig.p999 = quantile(took, 0.5), quantile(took, 0.99), quantile(took, 0.999)
	ran, shed := f.totals()
	fig.coverage = cov / float64(max(1, len(took)))
	fig.extra = float64(ran-ran0)/float64(max(1, needed)) - 1
	fig.shed = float64(shed-shed0) / float64(max(1, needed))
	return fig
}

func timedQuery(ctx context.Context, ask queryFunc, name, text string) (caller.Answer, time.Duration) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(scenarioDeadline))
	defer cancel()
	ans := ask(ctx, service.QueryRequest{
		ID: "q", Caller: name, Arrived: now, Deadline: now.Add(scenarioDeadline), Query: caller.Query{Query: text, Limit: 10},
	})
	return ans, time.Since(now)
}

// One replica of thirty suddenly answers twenty times slower. The slowest shard sets the latency of a query, so without
// hedges and ejection a third of the queries wait for that replica. Latency must stay close to the healthy one, without
// doubling the load on the other replicas.
func TestOneSlowReplica(t *testing.T) {
	t.Parallel()
	healthy := scenario{seed: 1, rate: 200, warmup: time.Second, duration: 4 * time.Second}
	slow := healthy
	slow.fault = func(f *simReplicas, _ *service.Service, since time.Duration) {
		f.update(func(w []*simReplica) { w[4].slowdown = 20 })
	}
	base, ours, plain := healthy.run(t, false), slow.run(t, false), slow.run(t, true)
	t.Logf("healthy: %v", base)
	t.Logf("slow:    %v", ours)
	t.Logf("plain:   %v", plain)
	qt.Assert(t, float64(ours.p99) <= 1.1*float64(base.p99), qt.IsTrue)
	qt.Assert(t, float64(ours.p999) <= 1.5*float64(base.p999), qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
	qt.Assert(t, ours.coverage > plain.coverage, qt.IsTrue)
	qt.Assert(t, float64(plain.p99) > 2*float64(base.p99), qt.IsTrue)
}

// Ten replicas stop answering at once while their connections stay open, as when a switch fails. Three shards of ten
// are late in every running query. This looks like overload, but most shards answer in time: the late ones must be sent
// to other replicas, not given up.
func TestZoneGoesSilent(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 11, rate: 200, warmup: time.Second, duration: 2 * time.Second}
	sc.fault = func(f *simReplicas, _ *service.Service, _ time.Duration) {
		f.update(func(w []*simReplica) {
			for i := range 10 {
				w[i].slowdown = 10_000
			}
		})
	}
	ours, plain := sc.run(t, false), sc.run(t, true)
	t.Logf("silent: %v", ours)
	t.Logf("plain:  %v", plain)
	qt.Assert(t, ours.complete, qt.Equals, ours.n)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// All three replicas of one shard are down. Every query must return in normal time with a coverage of nine shards of
// ten; waiting for the deadline would gain nothing.
func TestOneShardGone(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 2, rate: 200, warmup: time.Second, duration: 2 * time.Second}
	healthy := sc.run(t, false)
	sc.fault = func(f *simReplicas, _ *service.Service, _ time.Duration) {
		f.update(func(w []*simReplica) { w[3].down, w[13].down, w[23].down = true, true, true })
	}
	ours, plain := sc.run(t, false), sc.run(t, true)
	t.Logf("healthy: %v", healthy)
	t.Logf("down:    %v", ours)
	t.Logf("plain:   %v", plain)
	qt.Assert(t, ours.complete, qt.Equals, 0)
	qt.Assert(t, ours.partial, qt.Equals, ours.n)
	qt.Assert(t, ours.coverage > 0.8999 && ours.coverage < 0.9001, qt.IsTrue)
	qt.Assert(t, float64(ours.p99) <= 1.2*float64(healthy.p99), qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// The ten replicas in one availability zone restart at the same addresses with cold caches, ten times slower for two
// seconds. With their full share of requests, nearly every query waits for several of them, and the hedge budget
// doesn't cover all. They must get only probes until they are warm.
func TestColdRestart(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 3, rate: 200, warmup: time.Second, duration: 3 * time.Second}
	healthy := sc.run(t, false)
	sc.fault = func(f *simReplicas, s *service.Service, since time.Duration) {
		if since < 50*time.Millisecond {
			f.update(func(w []*simReplica) {
				for i := range 10 {
					w[i].id, w[i].warmAt = w[i].id+"-new", time.Now().Add(2*time.Second)
				}
			})
		}
		s.Update(context.Background(), f.list())
	}
	ours, plain := sc.run(t, false), sc.run(t, true)
	t.Logf("healthy: %v", healthy)
	t.Logf("cold:    %v", ours)
	t.Logf("plain:   %v", plain)
	qt.Assert(t, float64(ours.p99) <= 1.5*float64(healthy.p99), qt.IsTrue)
	qt.Assert(t, float64(ours.p999) <= 1.1*float64(healthy.p999), qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// The offered load is three times the capacity of the replicas. Hedges and retries would only displace first attempts:
// few attempts may be shed, and nearly all slots must do useful work.
func TestSaturation(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 4, rate: 9000, duration: 300 * time.Millisecond}
	ours, plain := sc.run(t, false), sc.run(t, true)
	t.Logf("full:  %v", ours)
	t.Logf("plain: %v", plain)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
	qt.Assert(t, ours.shed < plain.shed, qt.IsTrue)
	qt.Assert(t, ours.complete >= plain.complete, qt.IsTrue)
}

// Every 500 ms, 60 more queries come within 6 ms, the rate of 200 callers within 20 ms, so that there are more attempts
// than slots. Queries must wait a few milliseconds for a slot rather than return partial results.
func TestBurst(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 5, rate: 150, warmup: time.Second, duration: 2 * time.Second}
	sc.fault = func(f *simReplicas, s *service.Service, since time.Duration) {
		if int(since/(50*time.Millisecond))%10 != 0 {
			return
		}
		for i := range 60 {
			go func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				ans, _ := timedQuery(context.Background(), s.Query, "burst", "colour")
				if ans.Outcome != caller.OutcomeComplete {
					f.update(func(w []*simReplica) { w[0].afterDraining++ })
				}
			}()
		}
	}
	ours := sc.run(t, false)
	t.Logf("burst: %v", ours)
	qt.Assert(t, ours.coverage > 0.999, qt.IsTrue)
	qt.Assert(t, ours.refused, qt.Equals, 0)
}

// Seven hosts share the five slots of each replica at sixty percent of the replicas' capacity, without knowledge of
// each other: an attempt of one host can cause a replica to shed another's. Results must be complete and hardly any
// attempt shed.
func TestSevenHostsShareReplicas(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 10, rate: 1800, warmup: 500 * time.Millisecond, duration: 700 * time.Millisecond, hosts: 7}
	ours, plain := sc.run(t, false), sc.run(t, true)
	t.Logf("shared: %v", ours)
	t.Logf("plain:  %v", plain)
	qt.Assert(t, ours.coverage > 0.999, qt.IsTrue)
	qt.Assert(t, ours.shed < plain.shed, qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// One query in ten takes eight times as long. The replicas running it are not slow: they must not be ejected, nor the
// query hedged, so that the load and the short queries are unaffected.
func TestLongQueriesAmongShort(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 6, rate: 150, warmup: time.Second, duration: 4 * time.Second, text: func(i int) string {
		if i%10 == 0 {
			return "long"
		}
		return "short"
	}}
	ours, plain := sc.run(t, false), sc.run(t, true)
	t.Logf("mixed: %v", ours)
	t.Logf("plain: %v", plain)
	qt.Assert(t, ours.ejected, qt.Equals, 0)
	qt.Assert(t, ours.extra < 0.031, qt.IsTrue)
	qt.Assert(t, ours.coverage >= plain.coverage-0.001, qt.IsTrue)
}

// One replica's load header reports no load while the replica is twenty times slower than the others, and another's
// reports full load while idle. A picker that trusts the headers sends the whole load of the shard to the slow replica.
func TestLyingLoadHeaders(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 7, rate: 200, warmup: time.Second, duration: 4 * time.Second}
	healthy := sc.run(t, false)
	sc.fault = func(f *simReplicas, _ *service.Service, _ time.Duration) {
		f.update(func(w []*simReplica) { w[4].slowdown, w[4].loadHeader, w[14].loadHeader = 20, "0/5", "5/5" })
	}
	ours := sc.run(t, false)
	t.Logf("healthy: %v", healthy)
	t.Logf("wrong:   %v", ours)
	qt.Assert(t, float64(ours.p99) <= 1.2*float64(healthy.p99), qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// A replica refuses every connection. It never has a request in flight, and so looks least loaded: a third of the
// shard's attempts go there first, each costs a retry, and once the retry budget is spent shards go missing. After
// three failures it must get only probes, until it answers again.
func TestReplicaThatFailsFast(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 9, rate: 200, warmup: time.Second, duration: 3 * time.Second}
	sc.fault = func(f *simReplicas, _ *service.Service, since time.Duration) {
		f.update(func(w []*simReplica) { w[4].down = since < 2*time.Second })
	}
	ours, plain := sc.run(t, false), sc.run(t, true)
	t.Logf("failing: %v", ours)
	t.Logf("plain:   %v", plain)
	qt.Assert(t, ours.complete, qt.Equals, ours.n)
	qt.Assert(t, ours.shed < 0.002, qt.IsTrue)
	qt.Assert(t, ours.ejected, qt.Equals, 1)
}

// A replica starts to drain: it still answers, and its replies say that it drains. Attempts sent before the first such
// reply finish; later ones must go elsewhere, although the platform's list still shows the replica as live.
func TestLeavingReplicaInUse(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 8, rate: 200, warmup: time.Second, duration: 2 * time.Second}
	after := 0
	sc.fault = func(f *simReplicas, s *service.Service, _ time.Duration) {
		f.update(func(w []*simReplica) { w[4].draining, after = true, w[4].afterDraining })
		s.Update(context.Background(), f.list())
	}
	ours := sc.run(t, false)
	t.Logf("draining: %v, %d attempts after the first sign", ours, after)
	qt.Assert(t, ours.complete, qt.Equals, ours.n)
	qt.Assert(t, after >= 1 && after <= 5, qt.IsTrue, qt.Commentf("%d attempts received while draining", after))
}
