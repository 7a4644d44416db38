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

// scene is a load and a fault, played in virtual time against the service and against the plain baseline.
type scene struct {
	seed   uint64
	prefer document.Preference
	// rate is the queries a second, lasting so long; text names query i.
	rate  float64
	lasts time.Duration
	text  func(i int) string
	// hosts is how many hosts share the replicas and the load; zero means one.
	hosts int
	// warm is how long the load runs before the fault and before anything is counted.
	warm time.Duration
	// fault is called after warm, and every 50 ms from then on with the time since.
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

// One replica of thirty answers twenty times slower, from one moment to the next. A greeter's board waits
// for it in every third look-up: the slowest shard sets the page's time. The board should hardly notice,
// and the other replicas should not pay for it with doubled load.
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

// A switch fails, and the ten replicas behind it stop answering from one moment to the next; connections stay
// open. Three shards of ten are late at once on every page that is under way. It looks like load, but most of
// the page has come in good time: the rest should be asked elsewhere, not left out.
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

// All three replicas of one shard are gone. Every page must come on time and say that nine shards of ten
// answered; a page that waits for the deadline each time freezes the board for nothing.
func TestOneShardGone(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 2, rate: 200, warm: time.Second, lasts: 2 * time.Second}
	healthy := sc.play(t, false)
	sc.fault = func(f *farm, _ *service.Service, _ time.Duration) {
		f.change(func(w []*worker) { w[3].dead, w[13].dead, w[23].dead = true, true, true })
	}
	ours, plain := sc.play(t, false), sc.play(t, true)
	t.Logf("healthy: %v", healthy)
	t.Logf("gone:    %v", ours)
	t.Logf("plain:   %v", plain)
	qt.Assert(t, ours.complete, qt.Equals, 0)
	qt.Assert(t, ours.partial, qt.Equals, ours.n)
	qt.Assert(t, ours.coverage > 0.8999 && ours.coverage < 0.9001, qt.IsTrue)
	qt.Assert(t, float64(ours.p99) <= 1.2*float64(healthy.p99), qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// The ten replicas in one availability zone restart under their addresses with cold caches, ten times slower
// for two seconds. Sent their full share at once, nearly every page waits for several of them, and second
// tries don't reach for all; they should get single tries until they are warm.
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

// The offered load is three times what the replicas can run. Second tries and retries would only displace
// first ones; what is sent must run, and nearly all slots must do useful work.
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

// Two hundred coordinators look up the same colour within 20 ms. More tries come at once than there are
// slots; pages should wait a few milliseconds for a slot rather than come back thin.
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

// Seven hosts share the five slots of each replica, at sixty percent of what the replicas can run. No host
// knows of the others; what one sends is another's refusal. Pages should be whole and hardly a try refused.
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

// One query in ten is long, eight times the others' work. Its replicas are not slow, and must not be taken
// out or get second tries for it: the short ones keep their time and the load stays what it is.
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

// A replica's load header says idle while it is twenty times slower than the others, and another's says
// full while it is idle. Believed, the first would draw the whole load of its shard.
func TestLyingLoadHeaders(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 7, rate: 200, warm: time.Second, lasts: 4 * time.Second}
	healthy := sc.play(t, false)
	sc.fault = func(f *farm, _ *service.Service, _ time.Duration) {
		f.change(func(w []*worker) { w[4].slow, w[4].claim, w[14].claim = 20, "0/5", "5/5" })
	}
	ours := sc.play(t, false)
	t.Logf("healthy: %v", healthy)
	t.Logf("lying:   %v", ours)
	qt.Assert(t, float64(ours.p99) <= 1.2*float64(healthy.p99), qt.IsTrue)
	qt.Assert(t, ours.extra < 0.03, qt.IsTrue)
}

// A replica refuses every connection at once. It never has a try running, and so looks like the best choice
// for each: a third of the shard's tries go there first, each costs a retry, and with the budget spent shards
// go missing. After three failures it gets single tries only, until it answers again.
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

// A replica begins to leave: it still answers, and says so on its replies. Tries that it got before its first
// such reply are finished; after that it gets none, though the platform's list calls it live all the time.
func TestLeavingReplicaInUse(t *testing.T) {
	t.Parallel()
	sc := scene{seed: 8, rate: 200, warm: time.Second, lasts: 2 * time.Second}
	after := 0
	sc.fault = func(f *farm, s *service.Service, _ time.Duration) {
		f.change(func(w []*worker) { w[4].leaving, after = true, w[4].after })
		s.Update(context.Background(), f.list())
	}
	ours := sc.play(t, false)
	t.Logf("leaving: %v, %d tries after the first sign", ours, after)
	qt.Assert(t, ours.complete, qt.Equals, ours.n)
	qt.Assert(t, after >= 1 && after <= 5, qt.IsTrue, qt.Commentf("%d tries", after))
}
