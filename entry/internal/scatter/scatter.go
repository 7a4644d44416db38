package scatter

import (
	"context"
	"math/rand/v2"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/learned"
	"guavaspring.org/entry/internal/overload"
	"guavaspring.org/entry/internal/quarantine"
)

const (
	// lingerFor is how long attempts still in flight keep running after their request has ended: a paused replica
	// resumes within 250 ms, and a new connection costs it more than the remaining work.
	lingerFor = 300 * time.Millisecond
	// lookAgain is the interval at which a waiting shard checks for capacity freed without a reply to this host.
	lookAgain = 25 * time.Millisecond
	// hedgeAgain is the delay before a hedge is tried again when all other replicas of the shard are full.
	hedgeAgain = 10 * time.Millisecond
	// spareSteps is the capacity reserved for steps beyond the first attempts, which avoids a reallocation for most
	// requests.
	spareSteps = 4
	// unsentTries is the number of replicas beyond the route's attempts that may be selected when nothing was sent to
	// the earlier ones.
	unsentTries = 2
	// resends is the number of times that a shard's request may be sent again to replicas that shed it.
	resends = 3
	// answerBefore is how long before its deadline a request ends, so that the answer arrives in time.
	answerBefore = 5 * time.Millisecond
)

// Ending is the final state of a request.
type Ending string

// Final states of a request.
const (
	// Complete means that every shard answered.
	Complete Ending = "complete"
	// Partial means that enough shards, but not all, answered by the time the answer was due.
	Partial Ending = "partial"
	// Lost means that too few shards can still answer.
	Lost Ending = "lost"
	// Expired means that the deadline passed.
	Expired Ending = "expired"
	// Gone means that the client disconnected.
	Gone Ending = "client_gone"
	// Overload means that nothing was sent, because the queues of the shards are too long for an answer in time.
	Overload Ending = "overload"
)

// Options configures a Runner.
type Options struct {
	Clock clock.Clock
	// Share returns this host's share, 0 to 1, of the budgets for extra attempts.
	Share func() float64
	// Draw returns a random number between 0 and 1 and must be safe for concurrent use; nil means rand.Float64.
	Draw func() float64
	// Quarantine holds the requests that crash replicas; nil means a quarantine private to the runner.
	Quarantine *quarantine.Quarantine
	// Subqueries configures subqueries to other hosts; the zero value sends every attempt directly.
	Subqueries Subqueries
	// Region is the region of this host and of the hosts that receive its subqueries.
	Region string
}

// Runner sends requests to the replicas of their shards.
type Runner struct{ opts Options }

// New returns a Runner.
func New(opts Options) *Runner {
	if opts.Draw == nil {
		opts.Draw = rand.Float64
	}
	if opts.Quarantine == nil {
		opts.Quarantine = quarantine.New(quarantine.Options{Clock: opts.Clock})
	}
	return &Runner{opts: opts}
}

// Query is a request together with its route and shards.
type Query struct {
	Request *opaque.Request
	Route   *route.Route
	// Shards are the services that receive the request, one replica each.
	Shards []*endpoints.Service
	// Learned holds the statistics of the route's earlier requests.
	Learned *learned.Route
	// Homes are the regions to which the request is restricted; none means any.
	Homes             []string
	Arrived, Deadline time.Time
	// Version is the version of the configuration that names the shards.
	Version int64
	// Fingerprint identifies the request by its content, and Suspect means that a replica crashed recently while
	// running it.
	Fingerprint string
	Suspect     bool
}

// Report is the result of a request.
type Report struct {
	Ending Ending
	// Results holds, for each shard, the accepted reply, or the last failure if there is none.
	Results []exchange.Result
	// Answered is the number of shards with an accepted reply.
	Answered int
	// Hedges and Retries count the attempts after the first one of a shard.
	Hedges, Retries int
	// Ran means that a replica may have run the request.
	Ran bool
	// Through is the number of shards whose first attempt was sent by another host.
	Through int
	// Denied is the number of extra attempts that the budget did not allow.
	Denied int
	// Steps holds the decisions about the shards in order.
	Steps []Step
	// Overload is the admission decision for the request.
	Overload overload.Decision
	// RetryAfter is the delay before the client retries after Overload.
	RetryAfter time.Duration
	// Usual is the expected latency of a healthy replica, and Hedge the delay before a hedge, as used for this request.
	Usual, Hedge time.Duration
}

// Run sends the request and returns as soon as its ending is known.
func (run *Runner) Run(ctx context.Context, q Query) Report {
	p := newPlan(run, q)
	if p.unservable() {
		return p.finish(Lost)
	}
	if p.overloaded() {
		return p.refuse()
	}
	p.start(ctx)
	rep := p.collect(ctx)
	p.leave(rep.Ending)
	return rep
}

// plan is the state of one request, owned by the goroutine that called Run.
type plan struct {
	Query
	run    *Runner
	timing timing
	// unloaded is the latency of a reply without queueing, zero if unknown.
	unloaded time.Duration
	least    int
	now      time.Time
	shards   []shard
	// ctx ends the attempts. It is independent of the client's context, because attempts still in flight keep running
	// for a while after the request has ended.
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan ended
	// room receives the index of each waiting shard that may have capacity now.
	room chan int
	// told receives the replies of the hosts that gather parts of the request.
	told    chan told
	report  Report
	lost    int
	open    int
	waiting int
}

type shard struct {
	tried []*endpoints.Replica
	// sent counts the attempts that may have reached a replica, including the running ones.
	sent, running int
	// hedgeAt, lookAt and resendAt are the times of the shard's next checks; zero means none.
	hedgeAt, lookAt, resendAt time.Time
	// turnedAway holds the replicas that explicitly rejected an attempt without running it; a rejected attempt never
	// runs later.
	turnedAway []*endpoints.Replica
	// resent counts the attempts at replicas that had shed the request.
	resent         int
	answered, lost bool
	// waiter is set while the shard waits for capacity, and what is the attempt that waits.
	waiter *endpoints.Waiter
	what   What
	result exchange.Result
	// through is the subquery to another host that sent the shard's first attempt, nil if there is none.
	through *part
}

// ended is the result of a finished attempt.
type ended struct {
	shard   int
	replica *endpoints.Replica
	res     exchange.Result
}

func newPlan(run *Runner, q Query) *plan {
	n := len(q.Shards)
	p := &plan{
		Query: q, run: run, timing: timingOf(q.Route, &q.Learned.Recent), unloaded: q.Learned.Unloaded.Get(), least: 1, now: run.opts.Clock.Now(), shards: make([]shard, n), open: n,
		ends: make(chan ended, n*(q.Route.Attempts+unsentTries+resends)), room: make(chan int, n), told: make(chan told),
	}
	p.report.Steps = make([]Step, 0, n+spareSteps)
	if len(q.Route.Shards) > 0 {
		p.least = q.Route.LeastShards()
	}
	return p
}

// start sends the first attempt of each shard. The attempts of a request that is not idempotent outlive the client's
// context: the request may be running, and its replica must not be interrupted.
func (p *plan) start(ctx context.Context) {
	p.ctx, p.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, s := range p.Shards {
		s.Budget.Request(p.now)
	}
	p.throughOthers()
	for i := range p.Shards {
		if p.shards[i].through == nil {
			p.try(i, First, "")
		}
	}
}

// leave lets the attempts in flight run on for a while, or cancels them at once if an idempotent request has lost its
// client.
func (p *plan) leave(end Ending) {
	switch {
	case p.running() == 0:
		p.cancel()
	case end == Gone && p.Route.Idempotent:
		p.cancel()
	case !p.Route.Idempotent:
		p.run.opts.Clock.AfterFunc(max(0, p.Deadline.Sub(p.now)), p.cancel)
	default:
		p.run.opts.Clock.AfterFunc(lingerFor, p.cancel)
	}
}

func (p *plan) running() int {
	n := 0
	for i := range p.shards {
		n += p.shards[i].running
	}
	return n
}

// collect handles events until the ending of the request is known.
func (p *plan) collect(ctx context.Context) Report {
	for {
		if end, ok := p.decided(); ok {
			return p.finish(end)
		}
		select {
		case e := <-p.ends:
			p.now = p.run.opts.Clock.Now()
			p.take(e)
		case t := <-p.told:
			p.now = p.run.opts.Clock.Now()
			p.hear(t)
		case i := <-p.room:
			p.now = p.run.opts.Clock.Now()
			p.look(i)
		case <-p.run.opts.Clock.After(p.wake().Sub(p.now)):
			p.now = p.run.opts.Clock.Now()
			p.tick()
		case <-ctx.Done():
			p.now = p.run.opts.Clock.Now()
			return p.finish(Gone)
		}
	}
}

// passOn passes capacity that was announced to this request, which no longer needs it, to the next waiter. Otherwise it
// stays unused until the next reply.
func (p *plan) passOn() {
	for {
		select {
		case i := <-p.room:
			p.Shards[i].Wake(p.now)
		default:
			return
		}
	}
}

// decided reports whether waiting can no longer improve the result in time, and returns the ending.
func (p *plan) decided() (Ending, bool) {
	have := p.report.Answered
	switch {
	case have == len(p.shards):
		return Complete, true
	case len(p.shards)-p.lost < p.least:
		return Lost, true
	case p.open == 0:
		return Partial, true
	case have >= p.least && !p.now.Before(p.cutoff()):
		return Partial, true
	case !p.now.Before(p.end()):
		return Expired, true
	}
	return "", false
}

// cutoff returns the time at which an answer with enough but not all parts is sent.
func (p *plan) cutoff() time.Time { return p.Arrived.Add(p.timing.cutoff) }

func (p *plan) end() time.Time { return p.Deadline.Add(-answerBefore) }

// wake returns the time of the next scheduled check.
func (p *plan) wake() time.Time {
	next := p.end()
	if cutoff := p.cutoff(); p.now.Before(cutoff) && cutoff.Before(next) {
		next = cutoff
	}
	for i := range p.shards {
		s := &p.shards[i]
		if s.answered || s.lost {
			continue
		}
		for _, at := range []time.Time{s.hedgeAt, s.lookAt, s.resendAt} {
			if !at.IsZero() && at.Before(next) {
				next = at
			}
		}
	}
	return next
}

// tick runs the checks that are due.
func (p *plan) tick() {
	for i := range p.shards {
		s := &p.shards[i]
		if s.answered || s.lost {
			continue
		}
		if !s.lookAt.IsZero() && !p.now.Before(s.lookAt) {
			p.look(i)
		}
		if !s.hedgeAt.IsZero() && !p.now.Before(s.hedgeAt) {
			s.hedgeAt = time.Time{}
			p.hedge(i)
		}
		if !s.resendAt.IsZero() && !p.now.Before(s.resendAt) {
			s.resendAt = time.Time{}
			p.resend(i)
		}
	}
}

func (p *plan) finish(end Ending) Report {
	p.forget()
	p.report.Ending = end
	p.report.Usual, p.report.Hedge = p.timing.usual, p.timing.hedge
	for i := range p.shards {
		p.stopWaiting(i)
	}
	p.passOn()
	p.report.Results = make([]exchange.Result, len(p.shards))
	for i := range p.shards {
		p.report.Results[i] = p.shards[i].result
		// An idempotent attempt still in flight is not waited for, but may have run.
		p.report.Ran = p.report.Ran || p.shards[i].running > 0
	}
	return p.report
}
