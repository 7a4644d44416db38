package writes

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/ticket"
)

const (
	modelHosts = 3
	modelSeeds = "1500"
	modelSeed  = "20261202"
	operations = 8
	// records is the capacity of a host's book, small enough to be full at times.
	records = 2
	// recordLifetime is how long the book keeps the record of a short-lived ticket.
	recordLifetime = 2*time.Minute + 2*time.Second
)

// ticketLifetimes are the lifetimes of tickets; a long-lived ticket outlives the records of short-lived ones.
var ticketLifetimes = []time.Duration{2 * time.Second, 2 * time.Second, 5 * time.Minute}

// offsetClock is the wall clock of a host: it differs from the others', and is set forward and back while the host
// runs.
type offsetClock struct {
	clock.System
	mu     sync.Mutex
	offset time.Duration
}

func (c *offsetClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *offsetClock) set(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = d
}

// step is one action of the model, taken after a delay.
type step struct {
	after time.Duration
	what  string
	host  int
	op    int
	// requestDelay is the network delay of the request; dropReply drops the response; duplicate sends the request
	// twice.
	requestDelay time.Duration
	dropReply    bool
	duplicate    bool
	// sends holds the results of the attempts of this request, in order; pause stops the host before the first byte of
	// an attempt.
	sends       []string
	pause       time.Duration
	clockOffset time.Duration
}

func drawPlan(rt *rapid.T) []step {
	ms := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, most), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			after:        rapid.OneOf(ms(50), ms(50), ms(300), ms(300), ms(4000), rapid.Just(recordLifetime)).Draw(rt, "after"),
			what:         rapid.SampledFrom([]string{"mint", "send", "send", "send", "send", "send", "send", "restart", "set_clock"}).Draw(rt, "what"),
			host:         rapid.IntRange(0, modelHosts-1).Draw(rt, "host"),
			op:           rapid.IntRange(0, operations-1).Draw(rt, "op"),
			requestDelay: rapid.OneOf(rapid.Just(time.Duration(0)), ms(300), ms(3000)).Draw(rt, "late"),
			dropReply:    rapid.Bool().Draw(rt, "lost"),
			duplicate:    rapid.Bool().Draw(rt, "twice"),
			sends:        rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "ok", "shed", "draining", "not_sent", "refused", "crash", "lost", "late", "error"}), 3, 3).Draw(rt, "sends"),
			pause:        rapid.OneOf(rapid.Just(time.Duration(0)), ms(500)).Draw(rt, "pause"),
			clockOffset:  rapid.OneOf(ms(1000), ms(3000), rapid.Just(-3*time.Second), rapid.Just(-time.Minute)).Draw(rt, "off"),
		}
	}), 10, 60).Draw(rt, "plan")
}

// model simulates three hosts, three replicas with a count of the runs of each write, and callers that resend.
type model struct {
	mu       sync.Mutex
	hosts    [modelHosts]*modelHost
	tickets  map[int]string
	home     map[int]int
	ran      map[string]int
	outcomes map[string][]caller.WriteOutcome
	serial   int
	tasks    sync.WaitGroup
	// all holds every incarnation of every host, those that were restarted too.
	all []*modelHost
}

type modelHost struct {
	id     string
	clock  *offsetClock
	writer *Writer
	ctx    context.Context
	kill   context.CancelFunc
}

type planKey struct{}

// plan holds the results of the attempts of one request.
type plan struct {
	sends []string
	pause time.Duration
}

func (w *model) startHost(i int, off time.Duration) {
	w.serial++
	h := &modelHost{id: fmt.Sprintf("H%d", w.serial), clock: &offsetClock{offset: off}}
	h.ctx, h.kill = context.WithCancel(context.Background())
	h.writer = New(Options{
		Clock: h.clock, Log: logr.Discard(), Explain: explain.New(4), NewID: func() string { return "x" },
		Book: ticket.NewBook(h.id, records),
		Upstream: func(string) (Upstream, bool) {
			return Upstream{Enabled: true, Enter: enter, Pick: pick, Send: func(ctx context.Context, _ *replica.Replica, id string, body []byte) upstream.Result {
				return w.send(ctx, h, id, string(body))
			}}, true
		},
	})
	w.hosts[i] = h
	w.all = append(w.all, h)
}

func enter(context.Context, Request) (func(bool), ticket.Outcome) {
	return func(bool) {}, ticket.Outcome{}
}

func pick(tried []*replica.Replica) *replica.Replica {
	if len(tried) >= modelHosts {
		return nil
	}
	return &replica.Replica{ID: fmt.Sprint(len(tried)), Addr: netip.MustParseAddrPort("127.0.0.1:1")}
}

// send follows the contract of upstream.Client: the deadline is checked again after a pause, and not_sent means that no
// byte was sent.
func (w *model) send(ctx context.Context, h *modelHost, id, body string) upstream.Result {
	p := ctx.Value(planKey{}).(plan)
	time.Sleep(p.pause)
	if ctx.Err() != nil || h.ctx.Err() != nil {
		return upstream.Result{Kind: upstream.KindNotSent}
	}
	switch what := p.sends[int(id[len(id)-1]-'1')]; what {
	case "shed", "draining", "not_sent", "refused":
		return upstream.Result{Kind: upstream.Kind(what)}
	case "crash":
		w.recordRun(body)
		return upstream.Result{Kind: upstream.KindBroken}
	case "lost":
		w.recordRun(body)
		<-ctx.Done()
		return upstream.Result{Kind: upstream.KindCanceled}
	case "late":
		w.tasks.Go(func() {
			time.Sleep(5 * time.Second)
			w.recordRun(body)
		})
		return upstream.Result{Kind: upstream.KindBroken}
	case "error":
		return upstream.Result{Kind: upstream.KindError}
	default:
		time.Sleep(20 * time.Millisecond)
		w.recordRun(body)
		return upstream.Result{Kind: upstream.KindOK}
	}
}

func (w *model) recordRun(body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[body]++
}

func (w *model) apply(s step) {
	time.Sleep(s.after)
	h := w.hosts[s.host]
	if w.tickets[s.op] == "" && (s.what == "mint" || s.what == "send") {
		// Any host may mint tickets for any other, by its own clock.
		by := w.hosts[(s.host+1)%modelHosts]
		w.tickets[s.op] = ticket.Mint(h.id, "donor-desk", by.clock.Now(), ticketLifetimes[s.op%len(ticketLifetimes)])
		w.home[s.op] = s.host
	}
	raw, home := w.tickets[s.op], w.home[s.op]
	switch s.what {
	case "restart":
		h.kill()
		w.startHost(s.host, time.Until(h.clock.Now()))
	case "set_clock":
		h.clock.set(s.clockOffset)
	case "send":
		// Most requests go to the host that the ticket names, the others to another host.
		if s.op%4 != 0 {
			h = w.hosts[home]
		}
		for range map[bool]int{false: 1, true: 2}[s.duplicate] {
			w.tasks.Go(func() { w.request(h, s, raw) })
		}
	}
}

func (w *model) request(h *modelHost, s step, raw string) {
	time.Sleep(s.requestDelay)
	if h.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithValue(h.ctx, planKey{}, plan{s.sends, s.pause}), 200*time.Millisecond)
	defer cancel()
	now := h.clock.Now()
	op := fmt.Sprintf("op%d", s.op)
	ans := h.writer.Write(ctx, Request{
		ID: "r", Service: "donor-desk", Ticket: raw, Arrived: now, Deadline: now.Add(200 * time.Millisecond),
		Write: caller.Write{OpID: op},
	})
	if s.dropReply || h.ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[op] = append(w.outcomes[op], ans.Outcome)
}

// settle waits for all requests and for all writes that replicas run late.
func (w *model) settle() {
	w.tasks.Wait()
	for _, h := range w.all {
		h.kill()
		h.writer.Wait()
	}
	w.tasks.Wait()
}

func (w *model) violation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for op := range operations {
		name := fmt.Sprintf("op%d", op)
		ran := w.ran[string(encode(caller.Write{OpID: name}))]
		if ran > 1 {
			return fmt.Sprintf("%s ran %d times", name, ran)
		}
		for _, told := range w.outcomes[name] {
			if told == caller.WriteDone && ran != 1 {
				return fmt.Sprintf("%s: told done, ran %d times", name, ran)
			}
			if told == caller.WriteNotRun && ran != 0 {
				return fmt.Sprintf("%s: told not_run, ran %d times", name, ran)
			}
		}
	}
	return ""
}

// A caller resends a write whose response was lost: to the same host, to another one, twice, out of order, late.
// Meanwhile hosts are paused, restarted and have their clocks set, and replicas reject the write, crash after it took
// effect or run it late. No write may run twice, and none that runs may be answered with not_run.
func TestWritesRunAtMostOnce(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.checks", modelSeeds), qt.IsNil)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		qt.Assert(t, flag.Set("rapid.seed", modelSeed), qt.IsNil)
	}
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	seen := map[caller.WriteOutcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawPlan(rt)
		var wrong string
		synctest.Test(t, func(*testing.T) {
			w := &model{tickets: map[int]string{}, home: map[int]int{}, ran: map[string]int{}, outcomes: map[string][]caller.WriteOutcome{}}
			for i := range w.hosts {
				w.startHost(i, time.Duration(i-1)*time.Second)
			}
			for _, s := range steps {
				w.apply(s)
			}
			w.settle()
			wrong = w.violation()
			for _, told := range w.outcomes {
				for _, o := range told {
					seen[o]++
				}
			}
		})
		if wrong != "" {
			rt.Fatalf("%s", wrong)
		}
	})
	t.Logf("outcomes told: %v", seen)
	for _, o := range []caller.WriteOutcome{caller.WriteDone, caller.WriteNotRun, caller.WriteUnknown} {
		qt.Assert(t, seen[o] > 100, qt.IsTrue, qt.Commentf("%s was told %d times only", o, seen[o]))
	}
}
