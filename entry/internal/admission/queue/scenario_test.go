package queue_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/admission/adapt"
	"guavaspring.org/entry/internal/admission/queue"
)

const (
	ms = time.Millisecond
	// slots and work give an upstream with a capacity of 2,000 calls per second.
	slots = 20
	work  = 10 * ms
	peak  = 2000.0
	// budget is the time from arrival to the deadline for most calls, length the duration of most scenarios.
	budget = 60 * ms
	length = 2 * time.Second
	seed   = 1
)

var limits = queue.Limits{Running: slots, Waiting: 128, CallerShare: 0.5}

// callersOf returns the loads of n callers with equal shares of rate.
func callersOf(n int, rate float64) []callerLoad {
	list := make([]callerLoad, n)
	for i := range list {
		list[i] = callerLoad{caller: fmt.Sprintf("caller-%d", i), rate: rate / float64(n), until: length, work: work, budget: budget}
	}
	return list
}

// compare simulates the same calls under the policy under test and under the FIFO baseline.
func compare(t *testing.T, slow func(time.Duration) float64, loads ...callerLoad) (ours, baseline []*call) {
	ours = simulate(slow, admit(limits), calls(loads...))
	baseline = simulate(slow, fifo(slots, limits.Waiting), calls(loads...))
	t.Logf("seed %d", seed)
	t.Logf("ours  %+v", sum(ours, all))
	t.Logf("FIFO  %+v", sum(baseline, all))
	return ours, baseline
}

// Guards against a collapse of throughput at three times the capacity: in a FIFO queue every request waits until
// shortly before its deadline and is cut off while it runs, so fewer are served than at half the load. Requests that
// can't be served must be refused at once, and the others must be served as if they were alone.
func TestSaturation(t *testing.T) {
	c := qt.New(t)
	atPeak := sum(simulate(nil, admit(limits), calls(callersOf(10, peak)...)), all)
	for _, n := range []int{1, 10, 1000} {
		ours, baseline := compare(t, nil, callersOf(n, 3*peak)...)
		got, base := sum(ours, all), sum(baseline, all)
		c.Check(got.good >= atPeak.good*95/100, qt.IsTrue, qt.Commentf("%d callers: %d good, %d at the peak", n, got.good, atPeak.good))
		c.Check(got.refusalP99 < 5*ms, qt.IsTrue, qt.Commentf("%d callers: p99 of refusals is %v", n, got.refusalP99))
		c.Check(got.late < got.offered/100, qt.IsTrue, qt.Commentf("%d callers: %d late", n, got.late))
		c.Check(base.good < got.good*80/100, qt.IsTrue, qt.Commentf("the FIFO queue serves %d", base.good))
		c.Check(got.p50 < base.p50/2, qt.IsTrue, qt.Commentf("p50 %v, FIFO %v", got.p50, base.p50))
	}
}

// Guards against starvation by one faulty caller that sends up to ten times as many requests as all others together: in
// a FIFO queue it holds nearly every permit, and the others miss their deadlines. Their latency must hardly rise.
func TestHotCaller(t *testing.T) {
	c := qt.New(t)
	quiet := sum(simulate(nil, admit(limits), calls(callersOf(10, 0.6*peak)...)), all)
	for _, rate := range []float64{2.4 * peak, 6 * peak} {
		loads := append(callersOf(10, 0.6*peak), callerLoad{caller: "hot", rate: rate, until: length, work: work, budget: budget})
		ours, baseline := compare(t, nil, loads...)
		got, base := sum(ours, notOf("hot")), sum(baseline, notOf("hot"))
		c.Check(got.p99 < quiet.p99*13/10, qt.IsTrue, qt.Commentf("p99 %v, without the hot caller %v", got.p99, quiet.p99))
		c.Check(got.good >= got.offered*99/100, qt.IsTrue, qt.Commentf("%d of %d are served", got.good, got.offered))
		c.Check(base.good < base.offered/2, qt.IsTrue, qt.Commentf("the FIFO queue serves %d of %d", base.good, base.offered))
		hot := sum(ours, of("hot"))
		c.Check(float64(hot.good) >= 0.3*peak*length.Seconds(), qt.IsTrue, qt.Commentf("the hot caller is served %d times", hot.good))
	}
}

// Guards against starvation by a hot key: nine of ten requests of one caller ask for the same key, and in a FIFO queue
// those for its other keys wait behind them. These must be served as long as they stay within their share.
func TestHotKey(t *testing.T) {
	c := qt.New(t)
	shop := callerLoad{caller: "shop", rate: 0.2 * peak, keys: []string{"red", "blue", "green"}, until: length, work: work, budget: budget}
	hot := shop
	hot.rate, hot.keys = 1.8*peak, []string{"white"}
	ours, baseline := compare(t, nil, shop, hot)
	rest := func(c *call) bool { return c.key != "white" }
	got, base := sum(ours, rest), sum(baseline, rest)
	c.Check(got.good >= got.offered*98/100, qt.IsTrue, qt.Commentf("%d of %d are served", got.good, got.offered))
	c.Check(base.good < base.offered*2/3, qt.IsTrue, qt.Commentf("the FIFO queue serves %d of %d", base.good, base.offered))
}

// Guards against a burst that delays other callers: one caller sends a thousand requests within 50 ms. The others must
// be served as before, and those requests of the burst that can't be served in time must be refused at once.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	loads := append(callersOf(10, peak/2), callerLoad{caller: "burst", rate: 10 * peak, from: time.Second, until: time.Second + 50*ms, work: work, budget: budget})
	quiet := sum(simulate(nil, admit(limits), calls(callersOf(10, peak/2)...)), all)
	ours, baseline := compare(t, nil, loads...)
	got, base := sum(ours, notOf("burst")), sum(baseline, notOf("burst"))
	c.Check(got.good, qt.Equals, got.offered)
	c.Check(got.p99 <= quiet.p99*11/10, qt.IsTrue, qt.Commentf("p99 %v, without the burst %v", got.p99, quiet.p99))
	c.Check(base.good < base.offered, qt.IsTrue)
	c.Check(sum(ours, of("burst")).late < 20, qt.IsTrue)
}

// Guards against long requests that block short ones: reports take 40 times as long as other requests, and enough
// arrive to hold every permit, so in a FIFO queue short requests wait for a report to end. Short requests must be
// served as if there were no reports, and reports must still be served.
func TestLongAmongShort(t *testing.T) {
	c := qt.New(t)
	short := callersOf(10, peak/2)
	for i := range short {
		short[i].work, short[i].until = 5*ms, 5*time.Second
	}
	quiet := sum(simulate(nil, admit(limits), calls(short...)), all)
	long := callerLoad{caller: "reports", rate: 80, until: 5 * time.Second, work: 200 * ms, budget: time.Second}
	ours, baseline := compare(t, nil, append(short, long)...)
	got, base := sum(ours, notOf("reports")), sum(baseline, notOf("reports"))
	c.Check(got.good >= got.offered*99/100, qt.IsTrue, qt.Commentf("%d of %d are served", got.good, got.offered))
	c.Check(got.p99 < quiet.p99*13/10, qt.IsTrue, qt.Commentf("p99 %v, without the reports %v", got.p99, quiet.p99))
	c.Check(base.good < base.offered*3/4, qt.IsTrue, qt.Commentf("the FIFO queue serves %d of %d", base.good, base.offered))
	reports := sum(ours, of("reports"))
	t.Logf("short: ours %+v\n FIFO %+v\nlong: ours %+v\n FIFO %+v", got, base, reports, sum(baseline, of("reports")))
	c.Check(reports.good > 200, qt.IsTrue, qt.Commentf("%+v", reports))
}

// Guards against requests that run in vain while the upstream takes three times as long for half a second: those that
// can't be answered in time must be refused. When the upstream recovers, requests must be served again at once.
func TestSlowUpstream(t *testing.T) {
	c := qt.New(t)
	slow := func(at time.Duration) float64 {
		if at > time.Second && at < 1500*ms {
			return 3
		}
		return 1
	}
	ours, baseline := compare(t, slow, callersOf(10, 0.8*peak)...)
	got, base := sum(ours, all), sum(baseline, all)
	c.Check(got.good > base.good, qt.IsTrue)
	c.Check(got.late < base.late/5, qt.IsTrue, qt.Commentf("%d late, FIFO %d", got.late, base.late))
	after := func(c *call) bool { return c.at > 1600*ms }
	c.Check(sum(ours, after).good >= sum(ours, after).offered*99/100, qt.IsTrue)
}

// Guards against late refusals: the upstream becomes five times slower while a hundred requests are queued that were
// admitted by the estimate from before. Most can't be served in time any more and must be refused once the estimate
// shows it, not only when their latest start has passed.
func TestQueueIsTrimmedWhenUpstreamSlowsDown(t *testing.T) {
	c := qt.New(t)
	slow := func(at time.Duration) float64 {
		if at > time.Second {
			return 5
		}
		return 1
	}
	loads := callersOf(10, 0.8*peak)
	burst := callerLoad{caller: "burst", rate: 10 * peak, from: 950 * ms, until: 960 * ms, work: work}
	loads = append(loads, burst)
	for i := range loads {
		loads[i].budget = 400 * ms
	}
	ours, _ := compare(t, slow, loads...)
	refused, waited := 0, time.Duration(0)
	for _, call := range ours {
		if call.at > 900*ms && call.at < 1100*ms && call.outcome == "refused" {
			refused++
			waited += call.took
		}
	}
	t.Logf("%d refused around the change, after a mean of %v", refused, waited/time.Duration(refused))
	c.Check(waited/time.Duration(refused) < 45*ms, qt.IsTrue)
}

// Guards against a queue in the upstream: the configured concurrency is three times the upstream's slots, so requests
// queue there, where those of a hot caller delay all others although the host serves callers fairly. The adaptive limit
// must approach the upstream's capacity.
func TestAdaptiveLimitFindsUpstreamCapacity(t *testing.T) {
	c := qt.New(t)
	wide := limits
	wide.Running = 3 * slots
	loads := append(callersOf(10, 0.6*peak), callerLoad{caller: "hot", rate: 2.4 * peak, until: length, work: work, budget: budget})
	fixed := simulate(nil, admit(wide), calls(loads...))
	ours := simulate(nil, admitUnder(wide, adapt.New(wide.Running)), calls(loads...))
	got, base := sum(ours, notOf("hot")), sum(fixed, notOf("hot"))
	t.Logf("seed %d\nours  %+v\nfixed %+v", seed, got, base)
	c.Check(got.p50 < base.p50*3/4, qt.IsTrue, qt.Commentf("p50 %v, at a fixed limit %v", got.p50, base.p50))
	c.Check(sum(ours, all).good >= sum(fixed, all).good*97/100, qt.IsTrue, qt.Commentf("%d served, at a fixed limit %d", sum(ours, all).good, sum(fixed, all).good))
}

// Guards against synchronized retries: a host restarts, and a thousand callers send it a request at once and retry
// after the given delay. With a fixed delay of 50 ms all retry together and are refused together. With a delay
// estimated from the backlog and with jitter, few are refused twice.
func TestReturnOfRefusedCallers(t *testing.T) {
	c := qt.New(t)
	boards := func() []*call {
		list := make([]*call, 1000)
		for i := range list {
			list[i] = &call{at: ms, caller: fmt.Sprintf("board-%d", i), work: work, budget: budget, retries: true}
		}
		return list
	}
	// Earlier calls give the host an estimate of the time that requests take.
	warm := calls(callerLoad{caller: "warm", rate: peak / 2, until: time.Second, work: work, budget: budget})
	for _, board := range boards() {
		board.at = time.Second
		warm = append(warm, board)
	}
	baselineCalls := make([]*call, len(warm))
	for i, w := range warm {
		copied := *w
		baselineCalls[i] = &copied
	}
	ours := sum(simulate(nil, admit(limits), warm), notOf("warm"))
	baseline := sum(simulate(nil, fifo(slots, limits.Waiting), baselineCalls), notOf("warm"))
	t.Logf("seed %d\nours  %+v\nFIFO  %+v", seed, ours, baseline)
	c.Check(ours.good+ours.late, qt.Equals, 1000)
	c.Check(ours.refused < baseline.refused/2, qt.IsTrue, qt.Commentf("%d refusals, FIFO %d", ours.refused, baseline.refused))
}

// Guards against hanging requests that take every permit: requests of one caller were quick and now hang until their
// deadline. The actual hold time is charged only when a permit is returned, so until then hanging requests seem cheap
// and are served first. The caller's share must leave permits for others that wait.
func TestCallerShareBoundsRunningRequests(t *testing.T) {
	c := qt.New(t)
	now, started := epoch, map[string]int{}
	var name map[*queue.Waiter]string
	q := queue.New(queue.Limits{Running: 4, Waiting: 16, CallerShare: 0.5}, queue.Options{
		Notify: func(w *queue.Waiter) { started[name[w]]++ },
	})
	name = map[*queue.Waiter]string{}
	arrive := func(caller string) queue.Arrival {
		a := q.Arrive(now, queue.Request{Caller: caller, Deadline: now.Add(10 * time.Second)})
		if a.Verdict == queue.VerdictWait {
			name[a.Waiter] = caller
		}
		return a
	}
	for range 8 {
		quick, steady := arrive("hangs"), arrive("steady")
		now = now.Add(ms)
		q.Release(now, quick.Grant, true)
		now = now.Add(9 * ms)
		q.Release(now, steady.Grant, true)
	}
	arrive("hangs")
	arrive("hangs")
	steady := []queue.Arrival{arrive("steady"), arrive("steady")}
	for range 4 {
		arrive("hangs")
		arrive("steady")
	}
	now = now.Add(10 * ms)
	for _, a := range steady {
		q.Release(now, a.Grant, true)
	}
	c.Check(started, qt.DeepEquals, map[string]int{"steady": 2})
}
