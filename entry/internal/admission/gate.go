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

// Refusal says why a request was not admitted and when its caller should come back.
type Refusal = queue.Refusal

// Limits bounds what runs and waits.
type Limits = queue.Limits

// Request is what the gate knows of a request.
type Request = queue.Request

// Options configures a Gate.
type Options struct {
	// Clock tells the time; nil means the system's.
	Clock  clock.Clock
	Limits Limits
	// Moved is called with the old and the new limit when the upstream's replies moved it; it may be nil.
	Moved func(from, to int)
}

// Gate admits the requests of one service on one host; it blocks those that wait and leaves the decisions to packages
// queue and adapt.
type Gate struct {
	clock clock.Clock
	moved func(from, to int)

	mu     sync.Mutex
	limits Limits
	queue  *queue.Queue
	limit  *adapt.Limit
	// waiting maps each waiter to the channel its goroutine listens on.
	waiting map[*queue.Waiter]chan struct{}
	refused map[queue.Reason]uint64
	// waits counts the requests that waited and then ran, waitTotal the time that they waited.
	waits     uint64
	waitTotal time.Duration
}

// New returns a gate with nothing running.
func New(opts Options) *Gate {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Moved == nil {
		opts.Moved = func(int, int) {}
	}
	g := &Gate{
		clock: opts.Clock, moved: opts.Moved, limits: opts.Limits, limit: adapt.New(opts.Limits.Running),
		waiting: map[*queue.Waiter]chan struct{}{}, refused: map[queue.Reason]uint64{},
	}
	g.queue = queue.New(g.inForce(), queue.Options{Notify: g.wake})
	return g
}

// Place is the right to run one request; Leave must be called once.
type Place struct {
	// Waited is how long the request waited for the place.
	Waited time.Duration

	gate  *Gate
	grant queue.Grant
}

// Enter waits for a place, at longest until the request could no longer be answered by its deadline; a nil Refusal
// means that Leave must follow.
func (g *Gate) Enter(ctx context.Context, req Request) (Place, *Refusal) {
	g.mu.Lock()
	now := g.clock.Now()
	a := g.queue.Arrive(now, req)
	switch a.Verdict {
	case queue.VerdictRun:
		g.mu.Unlock()
		return Place{gate: g, grant: a.Grant}, nil
	case queue.VerdictRefuse:
		g.refused[a.Refusal.Reason]++
		g.mu.Unlock()
		// A copy: taking the field's address would move every arrival to the heap.
		refusal := a.Refusal
		return Place{}, &refusal
	}
	decided := make(chan struct{})
	g.waiting[a.Waiter] = decided
	g.mu.Unlock()
	return g.wait(ctx, now, a.Waiter, decided)
}

func (g *Gate) wait(ctx context.Context, arrived time.Time, w *queue.Waiter, decided chan struct{}) (Place, *Refusal) {
	late := make(chan struct{})
	stop := g.clock.AfterFunc(w.LatestStart.Sub(arrived), func() { close(late) })
	defer stop()
	select {
	case <-decided:
	case <-late:
		return g.giveUp(w, queue.ReasonLate)
	case <-ctx.Done():
		return g.giveUp(w, goneOrLate(ctx))
	}
	// The waiter was decided before the channel was closed, and is not touched again.
	if w.Verdict == queue.VerdictRun {
		return g.waited(w, arrived), nil
	}
	return Place{}, &w.Refusal
}

func (g *Gate) waited(w *queue.Waiter, arrived time.Time) Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.clock.Now().Sub(arrived)
	g.waits++
	g.waitTotal += d
	return Place{gate: g, grant: w.Grant, Waited: d}
}

// giveUp ends a wait; a place that was granted at the same moment goes to the next in line, or it would be lost for
// good.
func (g *Gate) giveUp(w *queue.Waiter, reason queue.Reason) (Place, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	granted := w.Verdict == queue.VerdictRun
	refusal := g.queue.Cancel(g.clock.Now(), w, reason)
	if granted {
		g.refused[reason]++
	}
	return Place{}, &refusal
}

func goneOrLate(ctx context.Context) queue.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return queue.ReasonLate
	}
	return queue.ReasonGone
}

// wake tells the goroutine of a waiter that it is decided; the caller holds mu.
func (g *Gate) wake(w *queue.Waiter) {
	if w.Verdict == queue.VerdictRefuse {
		g.refused[w.Refusal.Reason]++
	}
	close(g.waiting[w])
	delete(g.waiting, w)
}

// Leave gives the place back; complete says whether the answer was whole rather than cut short.
func (p Place) Leave(complete bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Leave(g.clock.Now(), p.grant, complete)
}

// SetLimits puts new limits in force at once, also for the requests that wait.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.limit.SetCap(limits.Running)
	g.queue.SetLimits(g.clock.Now(), g.inForce())
}

// Replied takes in that a shard answered after took from the start of its query, or that a try was cut off after took.
func (g *Gate) Replied(took time.Duration) {
	g.adapt(func(now time.Time) bool { return g.limit.Reply(now, took, g.queue.Running()) })
}

// Shed takes in that a try was turned away by a replica that was full.
func (g *Gate) Shed() {
	g.adapt(func(now time.Time) bool { return g.limit.Shed(now, g.queue.Running()) })
}

func (g *Gate) adapt(learn func(now time.Time) bool) {
	g.mu.Lock()
	now, from := g.clock.Now(), g.limit.Current()
	moved := learn(now)
	if moved {
		g.queue.SetLimits(now, g.inForce())
	}
	to := g.limit.Current()
	g.mu.Unlock()
	if moved {
		g.moved(from, to)
	}
}

// inForce is the document's limits with the concurrency that the upstream takes.
func (g *Gate) inForce() Limits {
	l := g.limits
	l.Running = g.limit.Current()
	return l
}

// Stats is what a gate holds at one moment.
type Stats struct {
	Running, Waiting, Limit int
	// Refused counts refusals since the start, by reason.
	Refused map[queue.Reason]uint64
	// Waits counts the requests that waited and then ran since the start, WaitTotal the time that they waited.
	Waits     uint64
	WaitTotal time.Duration
}

// Stats returns what the gate holds now.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Stats{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(), Limit: g.limit.Current(),
		Refused: make(map[queue.Reason]uint64, len(g.refused)), Waits: g.waits, WaitTotal: g.waitTotal,
	}
	for reason, n := range g.refused {
		s.Refused[reason] = n
	}
	return s
}

// Load returns the share of the limit in use, 0 to 1, and 1 while requests wait.
func (g *Gate) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Waiting() > 0 {
		return 1
	}
	return min(1, float64(g.queue.Running())/float64(g.limit.Current()))
}
