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
	// slots and work give an upstream that serves 2,000 calls a second.
	slots = 20
	work  = 10 * ms
	peak  = 2000.0
	// budget is the deadline of most calls and length how long a scene lasts.
	budget = 60 * ms
	length = 2 * time.Second
	seed   = 1
)

var limits = queue.Limits{Running: slots, Waiting: 128, CallerShare: 0.5}

// callersOf spreads rate evenly over n callers.
func callersOf(n int, rate float64) []load {
	list := make([]load, n)
	for i := range list {
		list[i] = load{caller: fmt.Sprintf("caller-%d", i), rate: rate / float64(n), until: length, work: work, budget: budget}
	}
	return list
}

// both plays the same calls under the policy and under the plain baseline.
func both(t *testing.T, slow func(time.Duration) float64, loads ...load) (ours, plain []*call) {
	ours = play(slow, admit(limits), calls(loads...))
	plain = play(slow, fifo(slots, limits.Waiting), calls(loads...))
	t.Logf("seed %d", seed)
	t.Logf("ours  %+v", sum(ours, all))
	t.Logf("plain %+v", sum(plain, all))
	return ours, plain
}

// Three times more greeters ask than the upstream can serve. With a plain queue every request waits until
// its deadline is nearly over, runs, and is thrown away half done, so fewer are served than at half the
// load. Those that can't be served must hear so at once, and the others must be served as if alone.
func TestSaturation(t *testing.T) {
	c := qt.New(t)
	atPeak := sum(play(nil, admit(limits), calls(callersOf(10, peak)...)), all)
	for _, n := range []int{1, 10, 1000} {
		ours, plain := both(t, nil, callersOf(n, 3*peak)...)
		got, base := sum(ours, all), sum(plain, all)
		c.Check(got.good >= atPeak.good*95/100, qt.IsTrue, qt.Commentf("%d callers: %d good, %d at the peak", n, got.good, atPeak.good))
		c.Check(got.refusalP99 < 5*ms, qt.IsTrue, qt.Commentf("%d callers: refusals after %v", n, got.refusalP99))
		c.Check(got.late < got.offered/100, qt.IsTrue, qt.Commentf("%d callers: %d late", n, got.late))
		c.Check(base.good < got.good*80/100, qt.IsTrue, qt.Commentf("the plain queue serves %d", base.good))
		c.Check(got.p50 < base.p50/2, qt.IsTrue, qt.Commentf("half are served within %v, plain %v", got.p50, base.p50))
	}
}

// A board's software goes wrong and asks twenty times as often as all others together. With a plain queue
// it holds nearly every place, and the others' lookups miss their deadlines. The others must hardly notice.
func TestHotCaller(t *testing.T) {
	c := qt.New(t)
	quiet := sum(play(nil, admit(limits), calls(callersOf(10, 0.6*peak)...)), all)
	for _, rate := range []float64{2.4 * peak, 6 * peak} {
		loads := append(callersOf(10, 0.6*peak), load{caller: "hot", rate: rate, until: length, work: work, budget: budget})
		ours, plain := both(t, nil, loads...)
		got, base := sum(ours, notOf("hot")), sum(plain, notOf("hot"))
		c.Check(got.p99 < quiet.p99*13/10, qt.IsTrue, qt.Commentf("p99 %v, %v without the hot caller", got.p99, quiet.p99))
		c.Check(got.good >= got.offered*99/100, qt.IsTrue, qt.Commentf("%d of %d are served", got.good, got.offered))
		c.Check(base.good < base.offered/2, qt.IsTrue, qt.Commentf("the plain queue serves %d of %d", base.good, base.offered))
		hot := sum(ours, of("hot"))
		c.Check(float64(hot.good) >= 0.3*peak*length.Seconds(), qt.IsTrue, qt.Commentf("the hot caller gets what is left, %d", hot.good))
	}
}

// One colour is in demand: nine of ten lookups of one caller ask for it. With a plain queue the lookups
// for all other colours wait behind it. They must be served as long as they are within their share.
func TestHotKey(t *testing.T) {
	c := qt.New(t)
	shop := load{caller: "shop", rate: 0.2 * peak, keys: []string{"red", "blue", "green"}, until: length, work: work, budget: budget}
	hot := shop
	hot.rate, hot.keys = 1.8*peak, []string{"white"}
	ours, plain := both(t, nil, shop, hot)
	rest := func(c *call) bool { return c.key != "white" }
	got, base := sum(ours, rest), sum(plain, rest)
	c.Check(got.good >= got.offered*98/100, qt.IsTrue, qt.Commentf("%d of %d are served", got.good, got.offered))
	c.Check(base.good < base.offered*2/3, qt.IsTrue, qt.Commentf("the plain queue serves %d of %d", base.good, base.offered))
}

// A queue board reconnects and asks a thousand questions within 50 ms. The others' lookups must go on as
// before; what can be served of the burst within its deadline is served, the rest hears at once.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	loads := append(callersOf(10, peak/2), load{caller: "burst", rate: 10 * peak, from: time.Second, until: time.Second + 50*ms, work: work, budget: budget})
	quiet := sum(play(nil, admit(limits), calls(callersOf(10, peak/2)...)), all)
	ours, plain := both(t, nil, loads...)
	got, base := sum(ours, notOf("burst")), sum(plain, notOf("burst"))
	c.Check(got.good, qt.Equals, got.offered)
	c.Check(got.p99 <= quiet.p99*11/10, qt.IsTrue, qt.Commentf("p99 %v, %v without the burst", got.p99, quiet.p99))
	c.Check(base.good < base.offered, qt.IsTrue)
	c.Check(sum(ours, of("burst")).late < 20, qt.IsTrue)
}

// A volunteer's reports take 40 times as long as the lookups of quilters, and enough are sent to take every
// place. With a plain queue the lookups wait for a report to end. They must be served as if the reports were
// not there, and reports must still be served.
func TestLongAmongShort(t *testing.T) {
	c := qt.New(t)
	short := callersOf(10, peak/2)
	for i := range short {
		short[i].work, short[i].until = 5*ms, 5*time.Second
	}
	quiet := sum(play(nil, admit(limits), calls(short...)), all)
	long := load{caller: "reports", rate: 80, until: 5 * time.Second, work: 200 * ms, budget: time.Second}
	ours, plain := both(t, nil, append(short, long)...)
	got, base := sum(ours, notOf("reports")), sum(plain, notOf("reports"))
	c.Check(got.good >= got.offered*99/100, qt.IsTrue, qt.Commentf("%d of %d are served", got.good, got.offered))
	c.Check(got.p99 < quiet.p99*13/10, qt.IsTrue, qt.Commentf("p99 %v, %v without the reports", got.p99, quiet.p99))
	c.Check(base.good < base.offered*3/4, qt.IsTrue, qt.Commentf("the plain queue serves %d of %d", base.good, base.offered))
	reports := sum(ours, of("reports"))
	t.Logf("short: ours %+v\n plain %+v\nlong: ours %+v\n plain %+v", got, base, reports, sum(plain, of("reports")))
	c.Check(reports.good > 200, qt.IsTrue, qt.Commentf("%+v", reports))
}

// The upstream takes three times as long for half a second. What can't be answered in time is refused rather
// than run in vain, and service is back at once when the upstream is.
func TestSlowUpstream(t *testing.T) {
	c := qt.New(t)
	slow := func(at time.Duration) float64 {
		if at > time.Second && at < 1500*ms {
			return 3
		}
		return 1
	}
	ours, plain := both(t, slow, callersOf(10, 0.8*peak)...)
	got, base := sum(ours, all), sum(plain, all)
	c.Check(got.good > base.good, qt.IsTrue)
	c.Check(got.late < base.late/5, qt.IsTrue, qt.Commentf("%d late, plain %d", got.late, base.late))
	after := func(c *call) bool { return c.at > 1600*ms }
	c.Check(sum(ours, after).good >= sum(ours, after).offered*99/100, qt.IsTrue)
}

// The upstream becomes five times slower while a hundred requests wait that were let in at the old pace. Most
// of them can't be served any more, and must hear so once that shows, rather than each at its last moment.
func TestQueueIsCutWhenTheUpstreamSlowsDown(t *testing.T) {
	c := qt.New(t)
	slow := func(at time.Duration) float64 {
		if at > time.Second {
			return 5
		}
		return 1
	}
	loads := callersOf(10, 0.8*peak)
	burst := load{caller: "burst", rate: 10 * peak, from: 950 * ms, until: 960 * ms, work: work}
	loads = append(loads, burst)
	for i := range loads {
		loads[i].budget = 400 * ms
	}
	ours, _ := both(t, slow, loads...)
	refused, waited := 0, time.Duration(0)
	for _, call := range ours {
		if call.at > 900*ms && call.at < 1100*ms && call.outcome == "refused" {
			refused++
			waited += call.took
		}
	}
	t.Logf("%d refused around the change, after %v in the mean", refused, waited/time.Duration(refused))
	c.Check(waited/time.Duration(refused) < 45*ms, qt.IsTrue)
}

// The document allows three times as many queries at once as the upstream has slots. They then queue
// upstream, where the others' lookups wait behind the hot caller's although the host served all in turns.
// The host must find the upstream's own limit.
func TestConcurrencyOverTheUpstream(t *testing.T) {
	c := qt.New(t)
	wide := limits
	wide.Running = 3 * slots
	loads := append(callersOf(10, 0.6*peak), load{caller: "hot", rate: 2.4 * peak, until: length, work: work, budget: budget})
	fixed := play(nil, admit(wide), calls(loads...))
	ours := play(nil, admitUnder(wide, adapt.New(wide.Running)), calls(loads...))
	got, base := sum(ours, notOf("hot")), sum(fixed, notOf("hot"))
	t.Logf("seed %d\nours  %+v\nfixed %+v", seed, got, base)
	c.Check(got.p50 < base.p50*3/4, qt.IsTrue, qt.Commentf("half within %v, %v at a fixed limit", got.p50, base.p50))
	c.Check(sum(ours, all).good >= sum(fixed, all).good*97/100, qt.IsTrue, qt.Commentf("%d served, %d at a fixed limit", sum(ours, all).good, sum(fixed, all).good))
}

// A host comes back and a thousand boards ask it at once, each coming back when told. Told the same 50 ms,
// all return together and are refused together. Told when there will be room, few are refused twice.
func TestReturnOfRefusedCallers(t *testing.T) {
	c := qt.New(t)
	boards := func() []*call {
		list := make([]*call, 1000)
		for i := range list {
			list[i] = &call{at: ms, caller: fmt.Sprintf("board-%d", i), work: work, budget: budget, comesBack: true}
		}
		return list
	}
	// The host knows its pace from the minute before.
	warm := calls(load{caller: "warm", rate: peak / 2, until: time.Second, work: work, budget: budget})
	for _, board := range boards() {
		board.at = time.Second
		warm = append(warm, board)
	}
	plainCalls := make([]*call, len(warm))
	for i, w := range warm {
		copied := *w
		plainCalls[i] = &copied
	}
	ours := sum(play(nil, admit(limits), warm), notOf("warm"))
	plain := sum(play(nil, fifo(slots, limits.Waiting), plainCalls), notOf("warm"))
	t.Logf("seed %d\nours  %+v\nplain %+v", seed, ours, plain)
	c.Check(ours.good+ours.late, qt.Equals, 1000)
	c.Check(ours.refused < plain.refused/2, qt.IsTrue, qt.Commentf("%d refusals, plain %d", ours.refused, plain.refused))
}

// One caller's requests are known as quick and then hang, each until its deadline. A caller is charged for
// its place-time when a place is given back, so until then the hanging ones look cheap and are served first.
// Its share must keep them from taking every place while others wait.
func TestCallerShareOfPlaces(t *testing.T) {
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
		q.Leave(now, quick.Grant, true)
		now = now.Add(9 * ms)
		q.Leave(now, steady.Grant, true)
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
		q.Leave(now, a.Grant, true)
	}
	c.Check(started, qt.DeepEquals, map[string]int{"steady": 2})
}
