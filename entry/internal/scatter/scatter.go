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
	// lingerFor is how long a try that lost is left alone: a replica that pauses is back within a quarter of a second,
	// and a new connection costs it more than the rest of the work.
	lingerFor = 300 * time.Millisecond
	// lookAgain is how soon a waiting shard looks for room that no reply of this host has announced.
	lookAgain = 25 * time.Millisecond
	// hedgeAgain is how soon a late shard whose other replicas are full looks at them again.
	hedgeAgain = 10 * time.Millisecond
	// spareSteps is the room for decisions beyond the first tries, so that the list of a usual request doesn't grow.
	spareSteps = 4
	// unsentTries is how many replicas beyond the allowed ones may be tried where nothing was sent to the others.
	unsentTries = 2
	// resends is how often a shard's request may go once more to replicas that turned it away.
	resends = 3
	// answerBefore is how long before its deadline a request is given up, so that the answer is there in time.
	answerBefore = 5 * time.Millisecond
)

// Ending says how a request came to its end.
type Ending string

// The ways in which a request ends.
const (
	// Complete means that every shard answered.
	Complete Ending = "complete"
	// Partial means that enough shards answered by the time an answer was due.
	Partial Ending = "partial"
	// Lost means that too few shards can still answer.
	Lost Ending = "lost"
	// Expired means that the deadline passed.
	Expired Ending = "expired"
	// Gone means that the client went away.
	Gone Ending = "client_gone"
	// Overload means that nothing was sent, since more waits for the shards than can be answered in time.
	Overload Ending = "overload"
)

// Options configures a Runner.
type Options struct {
	Clock clock.Clock
	// Share returns the part, 0 to 1, of the budgets of extra tries that this host takes.
	Share func() float64
	// Draw returns a random number between 0 and 1 and must be safe for concurrent use; nil means rand.Float64.
	Draw func() float64
	// Quarantine holds the requests that crash replicas; nil means one of the runner's own.
	Quarantine *quarantine.Quarantine
	// Subqueries is how parts of queries are asked through other hosts; the zero value asks all shards directly.
	Subqueries Subqueries
	// Region is the host's own, in which the hosts are that gather for it.
	Region string
}

// Runner runs requests.
type Runner struct{ opts Options }

// New returns a runner.
func New(opts Options) *Runner {
	if opts.Draw == nil {
		opts.Draw = rand.Float64
	}
	if opts.Quarantine == nil {
		opts.Quarantine = quarantine.New(quarantine.Options{Clock: opts.Clock})
	}
	return &Runner{opts: opts}
}

// Query is one request and where it goes.
type Query struct {
	Request *opaque.Request
	Route   *route.Route
	// Shards are the services that it is sent to, one replica each.
	Shards []*endpoints.Service
	// Learned holds what was learned from the route's requests.
	Learned *learned.Route
	// Homes are the regions in which alone it may run; none means any.
	Homes             []string
	Arrived, Deadline time.Time
	// Version is the configuration that names the shards.
	Version int64
	// Fingerprint names the request by its content, and Suspect says that a replica crashed under it a moment ago.
	Fingerprint string
	Suspect     bool
}

// Report is what a request came to.
type Report struct {
	Ending Ending
	// Results holds, for each shard, the reply that was taken, or the last failure where none was.
	Results []exchange.Result
	// Answered counts the shards whose reply was taken.
	Answered int
	// Hedges and Retries count the tries beyond the first of a shard.
	Hedges, Retries int
	// Ran says that a replica may have run the request.
	Ran bool
	// Through counts the shards whose first try another host sent.
	Through int
	// Denied counts second tries that the budget did not allow.
	Denied int
	// Steps holds what was decided, in order.
	Steps []Step
	// Overload is the decision whether the request was let in.
	Overload overload.Decision
	// RetryAfter is when to come back after Overload.
	RetryAfter time.Duration
	// Usual and Hedge are the times that the request was measured by: of a healthy replica's reply, and after which a
	// second try is sent.
	Usual, Hedge time.Duration
}

// Run sends the request and returns once its end is decided.
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
	// unloaded is how long a reply takes while nothing queues, zero for unknown.
	unloaded time.Duration
	least    int
	now      time.Time
	shards   []shard
	// ctx ends the tries; it is not the client's, since a try that lost is left to end by itself for a while.
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan ended
	// room receives the shards whose wait for room may be over.
	room chan int
	// told receives what hosts tell that gather parts of the request.
	told    chan told
	report  Report
	lost    int
	open    int
	waiting int
}

type shard struct {
	tried []*endpoints.Replica
	// sent counts the tries that may have reached a replica, running those under way.
	sent, running int
	// hedgeAt, lookAt and resendAt are when the shard is looked at next; zero means never.
	hedgeAt, lookAt, resendAt time.Time
	// turnedAway holds the replicas that did not run the request and said so, which never will run that try of it.
	turnedAway []*endpoints.Replica
	// resent counts the tries at replicas that had turned the request away.
	resent         int
	answered, lost bool
	// waiter is set while the shard waits for room, and what is the try that waits.
	waiter *endpoints.Waiter
	what   What
	result exchange.Result
	// through is the part of the request that holds the shard, where another host has sent its first try.
	through *part
}

// ended is a try that came to its end.
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

// start sends the first try of each shard. What is not idempotent is not ended with the client: it may have run, and
// its replica should not be cut off.
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

// leave lets the tries that are still under way go on for a while, unless nobody waits for the answer.
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

// collect takes results until the end of the request is decided.
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

// passOn gives room that was announced to this request, which needs it no more, to the next one that waits: otherwise
// it would stay unused until another reply comes.
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

// decided reports whether nothing better than what is there can come in time, and how the request ends.
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

// cutoff is when an answer leaves that has enough parts though not all.
func (p *plan) cutoff() time.Time { return p.Arrived.Add(p.timing.cutoff) }

func (p *plan) end() time.Time { return p.Deadline.Add(-answerBefore) }

// wake returns when there is something to look at next.
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

// tick sends what is due by the time.
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
		// What is under way and idempotent is not waited for; it counts as run all the same.
		p.report.Ran = p.report.Ran || p.shards[i].running > 0
	}
	return p.report
}
