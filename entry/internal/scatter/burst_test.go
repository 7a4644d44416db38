package scatter_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/entry/internal/routestats"
	"guavaspring.org/entry/internal/scatter"
)

// requestKind is a kind of request; all kinds use the same shards.
type requestKind struct {
	path                string
	objective, deadline time.Duration
	work                time.Duration
	least               float64
	// weight is the relative frequency of the kind.
	weight int
}

// requestKinds are page queries, and lookups with half their objective and a third of their work.
var requestKinds = []requestKind{
	{"/page", 100 * time.Millisecond, 600 * time.Millisecond, 11 * time.Millisecond, 0.89, 3},
	{"/lookup", 50 * time.Millisecond, 300 * time.Millisecond, 4 * time.Millisecond, 0.75, 1},
}

// tally counts the outcomes of the requests of one kind.
type tally struct {
	asked, inTime, late, refused, failed int
	// refusedLate counts refusals that were not immediate.
	refusedLate int
}

// clientLoad simulates clients that arrive at a steady rate and retry a refused request once, after the delay in the
// refusal.
type clientLoad struct {
	hosts []*testHost
	// routes is indexed by kind, and learned by host and kind.
	routes  []*route.Route
	learned [][]*routestats.Route
	mu      sync.Mutex
	tallies []tally
	next    int
}

// newClientLoad returns a load on a number of hosts, with ten shards of three replicas that run a number of requests at
// a time.
func newClientLoad(farm *replicatest.Farm, hosts, slots int) *clientLoad {
	c := &clientLoad{tallies: make([]tally, len(requestKinds))}
	for _, k := range requestKinds {
		rt := &route.Route{Idempotent: true, Timeout: k.deadline, Objective: k.objective, Attempts: 2, TopK: 5, LeastShare: k.least}
		for i := range 10 {
			rt.Shards = append(rt.Shards, fmt.Sprintf("s%d", i))
		}
		c.routes = append(c.routes, rt)
	}
	for i := range 10 {
		for n := range 3 {
			farm.Add(fmt.Sprintf("s%d", i), n, slotLimitedByKind(slots)).Row.Slots = slots
		}
	}
	for range hosts {
		h := newHostOnFarm(farm, 52, 1/float64(hosts))
		h.table.Replace(farm.Batch(), false)
		h.runner = scatter.New(scatter.Options{Clock: clock.System{}, Share: func() float64 { return 1 / float64(hosts) }, Draw: seeded(uint64(len(c.hosts))), Quarantine: h.quarantine})
		c.hosts = append(c.hosts, h)
		var list []*routestats.Route
		for _, k := range requestKinds {
			l := &routestats.Route{}
			for range 100 {
				l.Replied(time.Now(), k.work)
			}
			list = append(list, l)
		}
		c.learned = append(c.learned, list)
	}
	return c
}

// slotLimitedByKind returns a handler that runs a number of requests at a time, each for the work of its kind, and
// queues the others.
func slotLimitedByKind(slots int) func(*http.Request, []byte) replicatest.Answer {
	free := make(chan struct{}, slots)
	return func(req *http.Request, body []byte) replicatest.Answer {
		free <- struct{}{}
		defer func() { <-free }()
		for _, k := range requestKinds {
			if k.path == req.URL.Path {
				time.Sleep(k.work)
			}
		}
		return replicatest.OK("r", 0, "x")(req, body)
	}
}

func seeded(seed uint64) func() float64 {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}

// run generates rate requests per second for a span of time and returns, by kind, the outcomes of those that arrived
// after the first half second.
func (c *clientLoad) run(t *testing.T, rate int, span time.Duration) []tally {
	var all sync.WaitGroup
	mix := weightedKinds()
	arrivals := rand.New(rand.NewPCG(7, 7))
	for began := time.Now(); time.Since(began) < span; {
		k, h, counts := mix[arrivals.IntN(len(mix))], arrivals.IntN(len(c.hosts)), time.Since(began) > 500*time.Millisecond
		all.Go(func() { c.runClient(t, k, h, counts) })
		time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
	all.Wait()
	return c.tallies
}

// weightedKinds returns the indexes of the kinds, each repeated by its weight.
func weightedKinds() []int {
	var list []int
	for i, k := range requestKinds {
		for range k.weight {
			list = append(list, i)
		}
	}
	return list
}

// runClient simulates one client of kind k: it sends a request to host h, and after a refusal retries once at the next
// host.
func (c *clientLoad) runClient(t *testing.T, k, h int, counts bool) {
	came := time.Now()
	var rep scatter.Report
	refusedLate := 0
	for range 2 {
		asked := time.Now()
		rep = c.ask(t, k, h, requestKinds[k].deadline-asked.Sub(came))
		if rep.Ending != scatter.Overload {
			break
		}
		if time.Since(asked) > 0 {
			refusedLate++
		}
		time.Sleep(min(rep.RetryAfter, (requestKinds[k].deadline-time.Since(came))/3))
		h = (h + 1) % len(c.hosts)
	}
	if !counts {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &c.tallies[k]
	n.asked++
	n.refusedLate += refusedLate
	switch {
	case rep.Ending == scatter.Overload:
		n.refused++
	case rep.Answered < c.routes[k].LeastShards():
		n.failed++
	case time.Since(came) > requestKinds[k].objective:
		n.late++
	default:
		n.inTime++
	}
}

func (c *clientLoad) ask(t *testing.T, k, h int, left time.Duration) scatter.Report {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("q%d", c.next)
	c.mu.Unlock()
	host, now := c.hosts[h], time.Now()
	q := scatter.Query{
		Request: &opaque.Request{ID: id, Method: http.MethodGet, Target: requestKinds[k].path, Host: "h", Header: http.Header{}, Patience: left},
		Route:   c.routes[k], Learned: c.learned[h][k], Arrived: now, Deadline: now.Add(left), Fingerprint: id,
	}
	for _, name := range c.routes[k].Shards {
		q.Shards = append(q.Shards, host.table.Service(name))
	}
	return host.runner.Run(t.Context(), q)
}

// For more than a second, twice as many requests arrive as the replicas of all shards can answer, as when users reload
// a slow page. Admitting more than the capacity makes all requests wait, until most of the work goes into answers that
// come too late. Nearly as many requests as the capacity allows must be answered in time, the others must be refused at
// once, and neither kind may be starved. The test runs with few hosts, and with so many that none of them ever has two
// requests at a replica.
func TestBurstIsAnsweredInTime(t *testing.T) {
	tests := []struct {
		hosts, slots int
		// rate is the number of requests that arrive per second, and capacity the number that can be answered: three
		// replicas of a shard run slots requests at a time, for 9.25 ms on average.
		rate, capacity int
		// least is the required share of the capacity that is answered in time, and late the limit on late answers as a
		// share of the answers in time. Correct runs reach 0.96 to 0.99 and 0.59 to 0.68 of the capacity, with 0.06 to
		// 0.08 and 0.35 to 0.49 late. Admission by the attempts that wait at each host alone answers 0.53 and 0 in time
		// over two seconds, with 514 and 3,068 requests late or failed.
		least, late float64
	}{{6, 2, 1300, 648, 0.8, 0.3}, {84, 4, 2600, 1297, 0.45, 0.6}}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			farm := replicatest.New()
			defer farm.Close()
			c := newClientLoad(farm, test.hosts, test.slots)
			sum := tally{}
			got := c.run(t, test.rate, 1500*time.Millisecond)
			for i, n := range got {
				sum.inTime += n.inTime
				sum.late += n.late
				sum.failed += n.failed
				sum.refusedLate += n.refusedLate
				qt.Check(t, n.inTime > n.asked/6, qt.IsTrue, qt.Commentf("%s: %+v", requestKinds[i].path, n))
			}
			t.Logf("%d hosts: %+v", test.hosts, got)
			// The first half second is not counted, so one second of capacity remains.
			can := test.capacity
			qt.Check(t, float64(sum.inTime) > test.least*float64(can), qt.IsTrue, qt.Commentf("%d hosts: %+v, %d could be in time", test.hosts, sum, can))
			qt.Check(t, float64(sum.late) < test.late*float64(sum.inTime), qt.IsTrue, qt.Commentf("%d hosts: %+v", test.hosts, sum))
			qt.Check(t, sum.failed < sum.inTime/50, qt.IsTrue, qt.Commentf("%d hosts: %+v", test.hosts, sum))
			qt.Check(t, sum.refusedLate, qt.Equals, 0)
			time.Sleep(5 * time.Second)
		})
	}
}

// All replicas are four times slower than before, and the load is low. Nothing queues, so no request may be refused,
// although replies take as long as they would with many requests waiting.
func TestSlowReplicasWithoutLoadRefuseNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		farm := replicatest.New()
		defer farm.Close()
		c := newClientLoad(farm, 6, 2)
		for _, list := range c.learned {
			for i, k := range requestKinds {
				*list[i] = routestats.Route{}
				for range 100 {
					list[i].Replied(time.Now(), k.work/4)
				}
			}
		}
		for i, n := range c.run(t, 60, 3*time.Second) {
			qt.Check(t, n.refused, qt.Equals, 0, qt.Commentf("%s: %+v", requestKinds[i].path, n))
			qt.Check(t, n.inTime > n.asked*19/20, qt.IsTrue, qt.Commentf("%s: %+v", requestKinds[i].path, n))
		}
		time.Sleep(5 * time.Second)
	})
}
