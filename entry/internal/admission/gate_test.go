package admission_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/admission"
	"guavaspring.org/entry/internal/admission/queue"
)

const ms = time.Millisecond

func newGate(running int) *admission.Gate {
	g := admission.New(admission.Options{Limits: admission.Limits{Running: running, Waiting: 8, CallerShare: 1}})
	// A gate starts at a part of its limit; replies of constant latency raise it to the full limit.
	for range 8 {
		raiseLimit(g, running)
	}
	return g
}

func raiseLimit(g *admission.Gate, running int) {
	var places []admission.Permit
	for len(places) < running && g.Stats().Running < g.Stats().Limit {
		place, refusal := g.Acquire(context.Background(), request("warm", time.Second))
		if refusal != nil {
			panic(refusal.Reason)
		}
		places = append(places, place)
	}
	for range 40 {
		g.RecordReply(10 * ms)
	}
	time.Sleep(100 * ms)
	g.RecordReply(10 * ms)
	for _, place := range places {
		place.Release(false)
	}
}

func request(caller string, budget time.Duration) admission.Request {
	return admission.Request{Caller: caller, Deadline: time.Now().Add(budget)}
}

type result struct {
	place   admission.Permit
	refusal *admission.Refusal
	took    time.Duration
}

// enter starts a request on a goroutine of its own and returns a channel that receives its outcome.
func enter(ctx context.Context, g *admission.Gate, req admission.Request) <-chan result {
	ch := make(chan result, 1)
	start := time.Now()
	go func() {
		place, refusal := g.Acquire(ctx, req)
		ch <- result{place, refusal, time.Since(start)}
	}()
	synctest.Wait()
	return ch
}

// Guards against queued requests that time out beside free permits: admission.concurrency is raised while requests
// wait, and they stay queued until a running request ends.
func TestRaisedLimitStartsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGate(1)
		_, refusal := g.Acquire(context.Background(), request("a", time.Second))
		c.Assert(refusal, qt.IsNil)
		waiting := enter(context.Background(), g, request("b", time.Second))
		g.SetLimits(admission.Limits{Running: 64, Waiting: 8, CallerShare: 1})
		for range 40 {
			g.RecordReply(10 * ms)
		}
		time.Sleep(100 * ms)
		g.RecordReply(10 * ms)
		got := <-waiting
		c.Check(got.refusal, qt.IsNil)
		c.Check(got.took, qt.Equals, 100*ms)
	})
}

// Guards against permits that exceed the limit or are lost when the limit is lowered below the number of running
// requests: returned permits must be withdrawn until exactly the new number of requests runs.
func TestLoweredLimitLosesNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGate(4)
		var places []admission.Permit
		for range 4 {
			place, refusal := g.Acquire(context.Background(), request("a", 10*time.Second))
			c.Assert(refusal, qt.IsNil)
			places = append(places, place)
		}
		waiting := enter(context.Background(), g, request("b", 10*time.Second))
		g.SetLimits(admission.Limits{Running: 2, Waiting: 8, CallerShare: 1})
		places[0].Release(true)
		places[1].Release(true)
		synctest.Wait()
		c.Check(g.Stats().Running, qt.Equals, 2)
		c.Check(g.Stats().Waiting, qt.Equals, 1)
		places[2].Release(true)
		got := <-waiting
		c.Check(got.refusal, qt.IsNil)
		got.place.Release(true)
		places[3].Release(true)
		c.Check(g.Stats().Running, qt.Equals, 0)
	})
}

// Guards against a lost permit: a caller cancels its queued request, so that nobody would return the permit granted
// to it.
func TestCanceledWaitTakesNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGate(1)
		first, _ := g.Acquire(context.Background(), request("a", time.Second))
		ctx, cancel := context.WithCancel(context.Background())
		canceled := enter(ctx, g, request("b", time.Second))
		next := enter(context.Background(), g, request("c", time.Second))
		cancel()
		c.Check((<-canceled).refusal.Reason, qt.Equals, queue.ReasonCanceled)
		first.Release(true)
		got := <-next
		c.Assert(got.refusal, qt.IsNil)
		got.place.Release(true)
		c.Check(g.Stats().Running, qt.Equals, 0)
		c.Check(g.Stats().Waiting, qt.Equals, 0)
	})
}

// Guards against a lost permit when a request is granted one and canceled at the same moment: in either order of the
// two events, the permit must be returned.
func TestConcurrentGrantAndCancelLosesNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGate(1)
		for range 100 {
			first, refusal := g.Acquire(context.Background(), request("a", time.Second))
			c.Assert(refusal, qt.IsNil)
			ctx, cancel := context.WithCancel(context.Background())
			queued := enter(ctx, g, request("b", time.Second))
			cancel()
			first.Release(true)
			if got := <-queued; got.refusal == nil {
				got.place.Release(true)
			}
			c.Assert(g.Stats().Running, qt.Equals, 0)
		}
	})
}

// Guards against refusals that are sent only at the deadline: requests take 40 ms, and one with a deadline of 50 ms
// waits behind a request that hangs. Once it can no longer be answered in time, after 10 ms, it must be refused with a
// retry delay.
func TestRefusalComesBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGate(1)
		for range 16 {
			place, _ := g.Acquire(context.Background(), request("a", time.Second))
			time.Sleep(40 * ms)
			place.Release(true)
		}
		_, refusal := g.Acquire(context.Background(), request("a", time.Second))
		c.Assert(refusal, qt.IsNil)
		// The running request and this one take 40 ms each, more than 50 ms: it is refused at once.
		hopeless := <-enter(context.Background(), g, request("b", 50*ms))
		c.Check(hopeless.refusal.Reason, qt.Equals, queue.ReasonLate)
		c.Check(hopeless.took, qt.Equals, time.Duration(0))
		c.Check(hopeless.refusal.RetryAfter >= 40*ms && hopeless.refusal.RetryAfter < 200*ms, qt.IsTrue, qt.Commentf("%v", hopeless.refusal.RetryAfter))
		// This one can still be answered in time, until the running request takes longer than usual.
		delayed := <-enter(context.Background(), g, request("b", 100*ms))
		c.Check(delayed.refusal.Reason, qt.Equals, queue.ReasonLate)
		c.Check(delayed.took <= 60*ms, qt.IsTrue, qt.Commentf("%v", delayed.took))
	})
}

func BenchmarkEnterLeave(b *testing.B) {
	for _, callers := range []int{1, 100} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			g := admission.New(admission.Options{Limits: admission.Limits{Running: 64, Waiting: 128, CallerShare: 0.5}})
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprintf("caller-%d", i)
			}
			ctx, deadline := context.Background(), time.Now().Add(time.Hour)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				place, refusal := g.Acquire(ctx, admission.Request{Caller: names[i%callers], Key: "k", Deadline: deadline})
				if refusal != nil {
					b.Fatal(refusal.Reason)
				}
				place.Release(true)
			}
		})
	}
}

// BenchmarkRefuse measures a refusal under overload, with all permits taken and the queue full.
func BenchmarkRefuse(b *testing.B) {
	now := time.Now()
	q := queue.New(queue.Limits{Running: 64, Waiting: 128, CallerShare: 0.5}, queue.Options{})
	for i := range 64 + 128 {
		q.Arrive(now, queue.Request{Caller: fmt.Sprintf("caller-%d", i), Deadline: now.Add(time.Hour)})
	}
	b.ReportAllocs()
	for b.Loop() {
		if a := q.Arrive(now, queue.Request{Caller: "caller-1", Deadline: now.Add(time.Hour)}); a.Verdict != queue.VerdictRefuse {
			b.Fatal(a.Verdict)
		}
	}
}

// BenchmarkTransferPermit measures the transfer of a permit to the next of 128 queued requests.
func BenchmarkTransferPermit(b *testing.B) {
	now := time.Now()
	var granted queue.Grant
	q := queue.New(queue.Limits{Running: 1, Waiting: 128, CallerShare: 0.5}, queue.Options{Notify: func(w *queue.Waiter) { granted = w.Grant }})
	req := func(i int) queue.Request {
		return queue.Request{Caller: names[i%len(names)], Deadline: now.Add(time.Hour)}
	}
	granted = q.Arrive(now, req(0)).Grant
	for i := range 128 {
		q.Arrive(now, req(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Release(now, granted, true)
		q.Arrive(now, req(i))
	}
}

var names = func() []string {
	list := make([]string, 128)
	for i := range list {
		list[i] = fmt.Sprintf("caller-%d", i)
	}
	return list
}()
