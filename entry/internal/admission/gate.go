package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/admission/adapt"
	"guavaspring.org/entry/internal/admission/queue"
)

// Refusal holds the reason why a request was not admitted and the delay after which its caller should retry.
type Refusal = queue.Refusal

// Limits bounds the number of running and queued requests.
type Limits = queue.Limits

// Request holds the properties of a request that admission depends on.
type Request = queue.Request

// Options configures a Gate.
type Options struct {
	// Clock is the source of time; nil means the system clock.
	Clock  clock.Clock
	Limits Limits
	// Moved is called with the old and the new concurrency limit when replies of the upstream changed it; it may be
	// nil.
	Moved func(from, to int)
}

// Gate admits the requests of one service on one host. It blocks queued requests; packages queue and adapt take the
// decisions.
type Gate struct {
	clock        clock.Clock
	limitChanged func(from, to int)

	mu       sync.Mutex
	limits   Limits
	queue    *queue.Queue
	adaptive *adapt.Limit
	// waiting maps each waiter to the channel that is closed once it is decided.
	waiting map[*queue.Waiter]chan struct{}
	refused map[queue.Reason]uint64
	// waits counts the requests that waited and then ran; waitTotal is the sum of their waiting times.
	waits     uint64
	waitTotal time.Duration
}

// New returns a gate without running requests.
func New(opts Options) *Gate {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Moved == nil {
		opts.Moved = func(int, int) {}
	}
	g := &Gate{
		clock: opts.Clock, limitChanged: opts.Moved, limits: opts.Limits, adaptive: adapt.New(opts.Limits.Running),
		waiting: map[*queue.Waiter]chan struct{}{}, refused: map[queue.Reason]uint64{},
	}
	g.queue = queue.New(g.effectiveLimits(), queue.Options{Notify: g.wake})
	return g
}

// Permit allows one request to run; Release must be called exactly once.
type Permit struct {
	// Waited is the time that the request waited for the permit.
	Waited time.Duration

	gate  *Gate
	grant queue.Grant
}

// Acquire waits for a permit, at most until the request can no longer be answered before its deadline. If the returned
// Refusal is nil, the caller must call Release.
func (g *Gate) Acquire(ctx context.Context, req Request) (Permit, *Refusal) {
	g.mu.Lock()
	now := g.clock.Now()
	a := g.queue.Arrive(now, req)
	switch a.Verdict {
	case queue.VerdictRun:
		g.mu.Unlock()
		return Permit{gate: g, grant: a.Grant}, nil
	case queue.VerdictRefuse:
		g.refused[a.Refusal.Reason]++
		g.mu.Unlock()
		// Taking the address of the field would move every arrival to the heap, so the refusal is copied.
		refusal := a.Refusal
		return Permit{}, &refusal
	}
	decided := make(chan struct{})
	g.waiting[a.Waiter] = decided
	g.mu.Unlock()
	return g.wait(ctx, now, a.Waiter, decided)
}

func (g *Gate) wait(ctx context.Context, arrived time.Time, w *queue.Waiter, decided chan struct{}) (Permit, *Refusal) {
	expired := make(chan struct{})
	stop := g.clock.AfterFunc(w.LatestStart.Sub(arrived), func() { close(expired) })
	defer stop()
	select {
	case <-decided:
	case <-expired:
		return g.cancelWait(w, queue.ReasonLate)
	case <-ctx.Done():
		return g.cancelWait(w, cancelReason(ctx))
	}
	// The waiter is decided before the channel is closed and does not change afterwards.
	if w.Verdict == queue.VerdictRun {
		return g.recordWait(w, arrived), nil
	}
	return Permit{}, &w.Refusal
}

func (g *Gate) recordWait(w *queue.Waiter, arrived time.Time) Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.clock.Now().Sub(arrived)
	g.waits++
	g.waitTotal += d
	return Permit{gate: g, grant: w.Grant, Waited: d}
}

// cancelWait ends a wait. A permit that was granted at the same moment goes to the next waiter; otherwise it would be
// lost for good.
func (g *Gate) cancelWait(w *queue.Waiter, reason queue.Reason) (Permit, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	granted := w.Verdict == queue.VerdictRun
	refusal := g.queue.Cancel(g.clock.Now(), w, reason)
	if granted {
		g.refused[reason]++
	}
	return Permit{}, &refusal
}

// cancelReason returns the reason for a wait that ended with its context.
func cancelReason(ctx context.Context) queue.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return queue.ReasonLate
	}
	return queue.ReasonCanceled
}

// wake unblocks the goroutine of a waiter that has been decided; the caller holds mu.
func (g *Gate) wake(w *queue.Waiter) {
	if w.Verdict == queue.VerdictRefuse {
		g.refused[w.Refusal.Reason]++
	}
	close(g.waiting[w])
	delete(g.waiting, w)
}

// Release returns the permit; complete reports whether the request was answered in full rather than cut short.
func (p Permit) Release(complete bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Release(g.clock.Now(), p.grant, complete)
}

// SetLimits applies new limits at once, also to queued requests.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.adaptive.SetCap(limits.Running)
	g.queue.SetLimits(g.clock.Now(), g.effectiveLimits())
}

// RecordReply records the time from the start of a query to the reply of a shard, or the time after which an attempt
// was canceled.
func (g *Gate) RecordReply(took time.Duration) {
	g.updateLimit(func(now time.Time) bool { return g.adaptive.RecordReply(now, took, g.queue.Running()) })
}

// RecordShed records that a replica without free capacity rejected an attempt.
func (g *Gate) RecordShed() {
	g.updateLimit(func(now time.Time) bool { return g.adaptive.RecordShed(now, g.queue.Running()) })
}

func (g *Gate) updateLimit(observe func(now time.Time) bool) {
	g.mu.Lock()
	now, from := g.clock.Now(), g.adaptive.Current()
	changed := observe(now)
	if changed {
		g.queue.SetLimits(now, g.effectiveLimits())
	}
	to := g.adaptive.Current()
	g.mu.Unlock()
	if changed {
		g.limitChanged(from, to)
	}
}

// effectiveLimits returns the configured limits with the concurrency reduced to the adaptive limit.
func (g *Gate) effectiveLimits() Limits {
	l := g.limits
	l.Running = g.adaptive.Current()
	return l
}

// Stats is a snapshot of the counters of a gate.
type Stats struct {
	Running, Waiting, Limit int
	// Refused counts the refusals since the start by reason.
	Refused map[queue.Reason]uint64
	// Waits counts the requests that waited and then ran since the start; WaitTotal is the sum of their waiting times.
	Waits     uint64
	WaitTotal time.Duration
}

// Stats returns the current counters.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Stats{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(), Limit: g.adaptive.Current(),
		Refused: make(map[queue.Reason]uint64, len(g.refused)), Waits: g.waits, WaitTotal: g.waitTotal,
	}
	for reason, n := range g.refused {
		s.Refused[reason] = n
	}
	return s
}

// Load returns the used share of the concurrency limit, from 0 to 1, or 1 while requests are queued.
func (g *Gate) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Waiting() > 0 {
		return 1
	}
	return min(1, float64(g.queue.Running())/float64(g.adaptive.Current()))
}
