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

// scene is a load and a fault, simulated in virtual time against the service or the baseline.
type scene struct {
	seed   uint64
	prefer document.Preference
	// rate is in queries per second, for the duration lasts; text returns the text of query i.
	rate  float64
	lasts time.Duration
	text  func(i int) string
	// hosts is the number of hosts that share the replicas and the load; zero means one.
	hosts int
	// warm is the duration of the load before the fault begins and results count.
	warm time.Duration
	// fault is called every 50 ms after warm, with the time since then.
	fault func(f *farm, s *service.Service, since time.Duration)
}

const sceneDeadline = 100 * time.Millisecond

func (sc scene) play(t *testing.T, usePlain bool) (out figures) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(sc.seed, 10, 3)
		f.long = 8
		doc := document.Default()
		doc.Service = "member-search"
		if sc.prefer != "" {
			doc.Prefer = sc.prefer
		}
		reg := prometheus.NewRegistry()
		s := f.service(doc, reg)
		s.Update(t.Context(), f.list())
		ask := asker(s.Query)
		switch {
		case usePlain:
			ask = spread(max(1, sc.hosts), func() asker { return f.plain(doc) })
		case sc.hosts > 1:
			ask = spread(sc.hosts, func() asker {
				host := f.service(doc, nil)
				host.Update(t.Context(), f.list())
				return host.Query
			})
		}
		out = sc.load(t, f, s, ask)
		out.ejected = ejected(reg)
		time.Sleep(2 * sceneDeadline)
	})
	return out
}

func (sc scene) load(t *testing.T, f *farm, s *service.Service, ask asker) figures {
	rnd := rand.New(rand.NewPCG(sc.seed, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var fig figures
	var took []time.Duration
	var cov float64
	start := time.Now()
	var ran0, shed0, needed int
	counting, next := false, time.Duration(0)
	for i := 0; time.Since(start) < sc.warm+sc.lasts; i++ {
		if since := time.Since(start) - sc.warm; since >= 0 {
			if !counting {
				ran0, shed0 = f.sum()
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
			ans, d := timed(t.Context(), ask, fmt.Sprintf("caller%d", i%7), text)
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
	ran, shed := f.sum()
	fig.coverage = cov / float64(max(1, len(took)))
	fig.extra = float64(ran-ran0)/float64(max(1, needed)) - 1
	fig.shed = float64(shed-shed0) / float64(max(1, needed))
	return fig
}

func timed(ctx context.Context, ask asker, name, text string) (caller.Answer, time.Duration) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(sceneDeadline))
	defer cancel()
	ans := ask(ctx, service.QueryRequest{
		ID: "q", Caller: name, Arrived: now, Deadline: now.Add(sceneDeadline), Query: caller.Query{Query: text, Limit: 10},
	})
	return ans, time.Since(now)
}

// One replica of thirty suddenly answers twenty times slower. The slowest shard sets the latency of a query, so without
// hedges and ejection a third of the queries wait for that replica. Latency must stay close to the healthy one, without
// doubling the load on the other replicas.
func TestOneSlowReplica(t *testing.T) {
	t.Parallel()
	healthy := scene{seed: 1, rate: 200, warm: time.Second, lasts: 4 * time.Second}
	slow := healthy
	slow.fault = func(f *farm, _ *service.Service, since time.Duration) {
		f.change(func(w []*worker) { w[4].slow = 20 })
	}
	base, ours, plain := healthy.play(t, false), slow.play(t, false), slow.play(t, true)
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
	sc := scene{seed: 11, rate: 200, warm: time.Second, lasts: 2 * time.Second}
	sc.fault = func(f *farm, _ *service.Service, _ time.Duration) {
		f.change(func(w []*worker) {
			for i := range 10 {
				w[i].slow = 10_000
			}
		})
	}
	ours, plain := sc.play(t, false), sc.play(t, true)
	t.Logf("silent: %v", ours)
	t.Logf("plain:  %v", plain)
	qt.Assert(t, ours.complete, qt.Equals, ours.n)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// All three replicas of one shard are down. Every query must return in normal time with a coverage of nine shards of
// ten; waiting for the deadline would gain nothing.
func TestOneShardGone(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 2, rate: 200, warm: time.Second, lasts: 2 * time.Second}
	healthy := sc.play(t, false)
	sc.fault = func(f *farm, _ *service.Service, _ time.Duration) {
		f.change(func(w []*worker) { w[3].dead, w[13].dead, w[23].dead = true, true, true })
	}
	ours, plain := sc.play(t, false), sc.play(t, true)
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
	sc := scene{seed: 3, rate: 200, warm: time.Second, lasts: 3 * time.Second}
	healthy := sc.play(t, false)
	sc.fault = func(f *farm, s *service.Service, since time.Duration) {
		if since < 50*time.Millisecond {
			f.change(func(w []*worker) {
				for i := range 10 {
					w[i].id, w[i].warmAt = w[i].id+"-new", time.Now().Add(2*time.Second)
				}
			})
		}
		s.Update(context.Background(), f.list())
	}
	ours, plain := sc.play(t, false), sc.play(t, true)
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
	sc := scene{seed: 4, rate: 9000, lasts: 300 * time.Millisecond}
	ours, plain := sc.play(t, false), sc.play(t, true)
	t.Logf("full:  %v", ours)
	t.Logf("plain: %v", plain)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
	qt.Assert(t, ours.shed < plain.shed, qt.IsTrue)
	qt.Assert(t, ours.complete >= plain.complete, qt.IsTrue)
}

// Every 500 ms, 60 more queries come within 6 ms, so that there are more attempts than slots. Queries must wait a few
// milliseconds for a slot rather than return partial results.
func TestBurst(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 5, rate: 150, warm: time.Second, lasts: 2 * time.Second}
	sc.fault = func(f *farm, s *service.Service, since time.Duration) {
		if int(since/(50*time.Millisecond))%10 != 0 {
			return
		}
		for i := range 60 {
			go func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				ans, _ := timed(context.Background(), s.Query, "burst", "colour")
				if ans.Outcome != caller.OutcomeComplete {
					f.change(func(w []*worker) { w[0].after++ })
				}
			}()
		}
	}
	ours := sc.play(t, false)
	t.Logf("burst: %v", ours)
	qt.Assert(t, ours.coverage > 0.999, qt.IsTrue)
	qt.Assert(t, ours.refused, qt.Equals, 0)
}

// Seven hosts share the five slots of each replica at sixty percent of the replicas' capacity, without knowledge of
// each other: an attempt of one host can cause a replica to shed another's. Results must be complete and hardly any
// attempt shed.
func TestSevenHostsShareReplicas(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 10, rate: 1800, warm: 500 * time.Millisecond, lasts: 700 * time.Millisecond, hosts: 7}
	ours, plain := sc.play(t, false), sc.play(t, true)
	t.Logf("shared: %v", ours)
	t.Logf("plain:  %v", plain)
	qt.Assert(t, ours.coverage > 0.999, qt.IsTrue)
	qt.Assert(t, ours.shed < plain.shed, qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// One query in ten takes eight times as long. The replicas running it are not slow: they must not be ejected, nor the
// query hedged, so that the load and the short queries are unaffected.
func TestLongAmongShort(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 6, rate: 150, warm: time.Second, lasts: 4 * time.Second, text: func(i int) string {
		if i%10 == 0 {
			return "long"
		}
		return "short"
	}}
	ours, plain := sc.play(t, false), sc.play(t, true)
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
	sc := scene{seed: 7, rate: 200, warm: time.Second, lasts: 4 * time.Second}
	healthy := sc.play(t, false)
	sc.fault = func(f *farm, _ *service.Service, _ time.Duration) {
		f.change(func(w []*worker) { w[4].slow, w[4].claim, w[14].claim = 20, "0/5", "5/5" })
	}
	ours := sc.play(t, false)
	t.Logf("healthy: %v", healthy)
	t.Logf("wrong:   %v", ours)
	qt.Assert(t, float64(ours.p99) <= 1.2*float64(healthy.p99), qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// A replica refuses every connection. It never has a request in flight, and so looks least loaded: a third of the
// shard's attempts go there first, each costs a retry, and once the retry budget is spent shards go missing. After three
// failures it must get only probes, until it answers again.
func TestReplicaThatFailsFast(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 9, rate: 200, warm: time.Second, lasts: 3 * time.Second}
	sc.fault = func(f *farm, _ *service.Service, since time.Duration) {
		f.change(func(w []*worker) { w[4].dead = since < 2*time.Second })
	}
	ours, plain := sc.play(t, false), sc.play(t, true)
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
	sc := scene{seed: 8, rate: 200, warm: time.Second, lasts: 2 * time.Second}
	after := 0
	sc.fault = func(f *farm, s *service.Service, _ time.Duration) {
		f.change(func(w []*worker) { w[4].leaving, after = true, w[4].after })
		s.Update(context.Background(), f.list())
	}
	ours := sc.play(t, false)
	t.Logf("draining: %v, %d attempts after the first sign", ours, after)
	qt.Assert(t, ours.complete, qt.Equals, ours.n)
	qt.Assert(t, after >= 1 && after <= 5, qt.IsTrue, qt.Commentf("%d attempts received while draining", after))
}
