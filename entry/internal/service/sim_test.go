package service_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/admission"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/service"
)

// simReplica is a simulated replica that sheds requests while all its slots are in use.
type simReplica struct {
	id       string
	shard    int
	slots    int
	slowdown float64
	down     bool
	draining bool
	running  int
	// ran counts the attempts run, shed those refused, connection failures included, and afterDraining those received
	// while draining.
	ran, shed, afterDraining int
	// warmAt is the time at which its caches are warm; before it, the replica is coldSlowdown times slower.
	warmAt time.Time
	// loadHeader is a false value for the load header; empty means that the header is correct.
	loadHeader string
}

const coldSlowdown = 10

// simReplicas simulates the replicas of a service, in virtual time.
type simReplicas struct {
	mu       sync.Mutex
	seed     uint64
	shards   int
	replicas []*simReplica
	// longFactor multiplies the service time of queries whose text begins with "long".
	longFactor float64
	// services counts the hosts, so that the attempts of each host get distinct ids.
	services int
}

func newSimReplicas(seed uint64, shards, copies int) *simReplicas {
	f := &simReplicas{seed: seed, shards: shards, longFactor: 1}
	for i := range shards * copies {
		f.replicas = append(f.replicas, &simReplica{id: fmt.Sprintf("r%d", i), shard: i % shards, slots: 5, slowdown: 1})
	}
	return f
}

// seededIntN returns a random source that yields the same numbers in each run.
func seededIntN(seed uint64) func(n int) int {
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(seed, 3))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
}

func (f *simReplicas) addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
}

func (f *simReplicas) list() []platform.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []platform.Replica
	for i, w := range f.replicas {
		list = append(list, platform.Replica{ID: w.id, Addr: f.addr(i), State: platform.StateLive})
	}
	return list
}

func (f *simReplicas) replicaAt(addr netip.AddrPort) *simReplica {
	b := addr.Addr().As4()
	return f.replicas[int(b[2])<<8|int(b[3])]
}

// serviceTime returns the service time of an attempt: 3 ms and an exponential part with a mean of 2 ms, drawn from the
// attempt's id.
func (f *simReplicas) serviceTime(w *simReplica, attempt upstream.QueryAttempt) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attempt.ID))
	rnd := rand.New(rand.NewPCG(f.seed, h.Sum64()))
	ms := 3 + 2*rnd.ExpFloat64()
	ms *= w.slowdown
	if time.Now().Before(w.warmAt) {
		ms *= coldSlowdown
	}
	if len(attempt.Body) > 10 && string(attempt.Body[:14]) == `{"query":"long` {
		ms *= f.longFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (f *simReplicas) send(ctx context.Context, r *replica.Replica, attempt upstream.QueryAttempt) upstream.Result {
	f.mu.Lock()
	w := f.replicaAt(r.Addr)
	res := upstream.Result{Kind: upstream.KindOK, Holdings: fmt.Sprintf("1=%d/%d", w.shard, f.shards), Claimed: w.loadHeader, Draining: w.draining}
	switch {
	case w.down:
		w.shed++
		f.mu.Unlock()
		return upstream.Result{Kind: upstream.KindNotSent, Detail: "connection refused"}
	case w.running == w.slots:
		w.shed++
		f.mu.Unlock()
		res.Kind, res.Detail = upstream.KindShed, "every slot is taken"
		return res
	}
	if w.draining {
		w.afterDraining++
	}
	began := time.Now()
	w.running++
	w.ran++
	d := f.serviceTime(w, attempt)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		w.running--
		f.mu.Unlock()
	}()
	select {
	case <-time.After(d):
		res.Took = d
		return res
	case <-ctx.Done():
		return upstream.Result{Kind: upstream.KindCanceled, Detail: "given up", Took: time.Since(began)}
	}
}

func (f *simReplicas) health(_ context.Context, r *replica.Replica) (upstream.Health, upstream.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.replicaAt(r.Addr)
	if w.down {
		return upstream.Health{}, upstream.Result{Kind: upstream.KindNotSent}
	}
	return upstream.Health{Holdings: []upstream.Holding{{Version: 1, Shard: w.shard, Shards: f.shards}}}, upstream.Result{Kind: upstream.KindOK}
}

func (f *simReplicas) totals() (ran, shed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.replicas {
		ran += w.ran
		shed += w.shed
	}
	return ran, shed
}

func (f *simReplicas) update(do func(workers []*simReplica)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.replicas)
}

// queryFunc runs one query with the policy under test or with the baseline.
type queryFunc func(ctx context.Context, req service.QueryRequest) caller.Answer

func (f *simReplicas) service(doc document.Document, reg prometheus.Registerer) *service.Service {
	var mu sync.Mutex
	f.services++
	ids, host := 0, f.services
	s, err := service.New(accepted.Generation{Service: doc.Service, Number: 1, Document: doc}, service.Options{
		Clock: clock.System{}, Log: logr.Discard(), Metrics: service.NewMetrics(reg), Explain: explain.New(64), Send: f.send, Health: f.health, IntN: seededIntN(f.seed + uint64(f.services)),
		NewID: func() string {
			mu.Lock()
			defer mu.Unlock()
			ids++
			return fmt.Sprintf("x%d-%d", host, ids)
		},
	})
	if err != nil {
		panic(err)
	}
	return s
}

// roundRobin distributes queries over n hosts in turn; the hosts share no state.
func roundRobin(n int, host func() queryFunc) queryFunc {
	list := make([]queryFunc, n)
	for i := range list {
		list[i] = host()
	}
	var next atomic.Int64
	return func(ctx context.Context, req service.QueryRequest) caller.Answer {
		return list[int(next.Add(1))%n](ctx, req)
	}
}

// baseline returns the policy to compare with: a random replica for each shard, up to two more after failures, no
// hedges, and an admission limit that doesn't adapt to results.
func (f *simReplicas) baseline(doc document.Document) queryFunc {
	var mu sync.Mutex
	f.services++
	ids, host, intN := 0, f.services, seededIntN(f.seed+uint64(f.services))
	gate := admission.New(admission.Options{Limits: admission.Limits{Running: doc.Admission.Concurrency, Waiting: doc.Admission.Queue, CallerShare: doc.Admission.CallerShare}})
	return func(ctx context.Context, req service.QueryRequest) caller.Answer {
		place, refusal := gate.Acquire(ctx, admission.Request{Caller: req.Caller, Deadline: req.Deadline})
		if refusal != nil {
			return caller.Answer{Outcome: caller.OutcomeRefused}
		}
		defer place.Release(true)
		mu.Lock()
		ids++
		id := ids
		mu.Unlock()
		var wg sync.WaitGroup
		ok := make([]bool, f.shards)
		for i := range f.shards {
			wg.Go(func() {
				copies := len(f.replicas) / f.shards
				first := intN(copies)
				for k := range copies {
					r := &replica.Replica{Addr: f.addr(i + f.shards*((first+k)%copies))}
					attempt := upstream.QueryAttempt{ID: fmt.Sprintf("p%d-%d-%d-%d", host, id, i, k), Body: []byte(`{"query":"` + req.Query.Query + `"}     `)}
					if f.send(ctx, r, attempt).Kind == upstream.KindOK {
						ok[i] = true
						return
					}
				}
			})
		}
		wg.Wait()
		ans := caller.Answer{Coverage: caller.Coverage{Shards: f.shards}}
		for _, done := range ok {
			if done {
				ans.Coverage.Answered++
			}
		}
		ans.Outcome = caller.OutcomePartial
		if ans.Coverage.Answered == f.shards {
			ans.Outcome = caller.OutcomeComplete
		}
		return ans
	}
}

// runResult holds the outcomes, latency, coverage and extra load of a run.
type runResult struct {
	n, complete, partial, refused, failed int
	p50, p99, p999                        time.Duration
	coverage, extra, shed                 float64
	// ejected is the number of ejections over the whole run, warm-up included.
	ejected int
}

func (f runResult) String() string {
	return fmt.Sprintf("n %d complete %.4f partial %d refused %d failed %d | p50 %v p99 %v p99.9 %v | coverage %.4f | extra load %+.2f%% shed %.2f%% | ejected %d",
		f.n, float64(f.complete)/float64(max(1, f.n)), f.partial, f.refused, f.failed, round(f.p50), round(f.p99), round(f.p999), f.coverage, 100*f.extra, 100*f.shed, f.ejected)
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// countEjections returns the number of ejections according to the metrics.
func countEjections(reg *prometheus.Registry) int {
	families, err := reg.Gather()
	if err != nil {
		panic(err)
	}
	n := 0
	for _, fam := range families {
		if fam.GetName() != "guavaspring_replica_verdicts_total" {
			continue
		}
		for _, m := range fam.GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetValue() == "ejected" {
					n += int(m.GetCounter().GetValue())
				}
			}
		}
	}
	return n
}
