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
	"guavaspring.org/entry/internal/fairness"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/overload"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/routestats"
)

const (
	// outstandingGrace is how long attempts still in flight keep running after their request has ended: a paused
	// replica resumes within 250 ms, and a new connection costs it more than the remaining work.
	outstandingGrace = 300 * time.Millisecond
	// waitPollInterval is the interval at which a waiting shard checks for capacity freed without a reply to this host.
	waitPollInterval = 25 * time.Millisecond
	// hedgeRetryInterval is the delay before a hedge is tried again when all other replicas of the shard are full.
	hedgeRetryInterval = 10 * time.Millisecond
	// extraStepsCap is the capacity reserved for steps beyond the first attempts, which avoids a reallocation for most
	// requests.
	extraStepsCap = 4
	// maxUnsentAttempts is the number of replicas beyond the route's attempts that may be selected when nothing was
	// sent to the earlier ones.
	maxUnsentAttempts = 2
	// maxResends is the number of times that a shard's request may be sent again to replicas that shed it.
	maxResends = 3
	// deadlineMargin is how long before its deadline a request ends, so that the answer arrives in time.
	deadlineMargin = 5 * time.Millisecond
)

// Ending is the final state of a request.
type Ending string

// Final states of a request.
const (
	// Complete means that every shard answered.
	Complete Ending = "complete"
	// Partial means that enough shards, but not all, answered by the time the answer was due.
	Partial Ending = "partial"
	// TooFewShards means that too few shards can still answer.
	TooFewShards Ending = "lost"
	// Expired means that the deadline passed.
	Expired Ending = "expired"
	// ClientGone means that the client disconnected.
	ClientGone Ending = "client_gone"
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
	// Shares decides between classes of requests under overload; nil means shares private to the runner.
	Shares *fairness.Shares
	// Region is the region of this host and of the hosts that receive its subqueries.
	Region string
	// Ended is closed when the host stops and all requests have to be answered at once; nil means never.
	Ended <-chan struct{}
}

// Runner sends requests to the replicas of their shards.
type Runner struct{ opts Options }

// New returns a Runner.
func New(opts Options) *Runner {
	if opts.Draw == nil {
		opts.Draw = rand.Float64
	}
	if opts.Shares == nil {
		opts.Shares = &fairness.Shares{}
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
	Learned *routestats.Route
	// Class is the class of the request under overload.
	Class fairness.Class
	// Homes are the regions to which the request is restricted; none means any.
	Homes             []string
	Arrived, Deadline time.Time
	// Version is the version of the configuration that names the shards.
	Version int64
	// Fingerprint identifies the request by its content, and Suspect means that a replica crashed recently while
	// running it.
	Fingerprint string
	Suspect     bool
	// Memory keeps the memory of the replies until the caller of Run releases it.
	Memory *memory.Reservation
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
		return p.finish(TooFewShards)
	}
	if p.overloaded() {
		return p.refuse()
	}
	if p.hostEnded() {
		return p.finish(Expired)
	}
	p.start(ctx)
	rep := p.collect(ctx)
	p.releaseAttempts(rep.Ending)
	return rep
}

// plan is the state of one request, owned by the goroutine that called Run.
type plan struct {
	Query
	runner *Runner
	timing timing
	// unloaded is the latency of a reply without queueing, zero if unknown.
	unloaded    time.Duration
	minAnswered int
	now         time.Time
	shards      []shard
	// ctx ends the attempts. It is independent of the client's context, because attempts still in flight keep running
	// for a while after the request has ended.
	ctx     context.Context
	cancel  context.CancelFunc
	results chan attemptResult
	// capacityFreed receives the index of each waiting shard that may have capacity now.
	capacityFreed chan int
	// replies receives the replies of the hosts that gather parts of the request.
	replies       chan peerReply
	report        Report
	failedShards  int
	pendingShards int
	waitingShards int
}

type shard struct {
	tried []*endpoints.Replica
	// sent counts the attempts that may have reached a replica, including the running ones.
	sent, running int
	// hedgeAt, recheckAt and resendAt are the times of the shard's next checks; zero means none.
	hedgeAt, recheckAt, resendAt time.Time
	// shedBy holds the replicas that explicitly rejected an attempt without running it; a rejected attempt never runs
	// later.
	shedBy []*endpoints.Replica
	// resent counts the attempts at replicas that had shed the request.
	resent           int
	answered, failed bool
	// waiter is set while the shard waits for capacity, and waitAction is the attempt that waits.
	waiter     *endpoints.Waiter
	waitAction Action
	result     exchange.Result
	// viaPeer is the subquery to another host that sent the shard's first attempt, nil if there is none.
	viaPeer *peerSubquery
}

// attemptResult is the result of a finished attempt.
type attemptResult struct {
	shard   int
	replica *endpoints.Replica
	res     exchange.Result
}

func newPlan(run *Runner, q Query) *plan {
	n := len(q.Shards)
	p := &plan{
		Query: q, runner: run, timing: newTiming(q.Route, &q.Learned.Recent), unloaded: q.Learned.Unloaded.Get(), minAnswered: 1, now: run.opts.Clock.Now(), shards: make([]shard, n), pendingShards: n,
		results: make(chan attemptResult, n*(q.Route.Attempts+maxUnsentAttempts+maxResends)), capacityFreed: make(chan int, n), replies: make(chan peerReply),
	}
	p.report.Steps = make([]Step, 0, n+extraStepsCap)
	if len(q.Route.Shards) > 0 {
		p.minAnswered = q.Route.LeastShards()
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
	p.sendSubqueries()
	for i := range p.Shards {
		if p.shards[i].viaPeer == nil {
			p.attempt(i, First, "")
		}
	}
}

// releaseAttempts lets the attempts in flight run on for a while, or cancels them at once if an idempotent request has
// lost its client.
func (p *plan) releaseAttempts(end Ending) {
	switch {
	case p.running() == 0:
		p.cancel()
	case end == ClientGone && p.Route.Idempotent:
		p.cancel()
	case !p.Route.Idempotent:
		p.runner.opts.Clock.AfterFunc(max(0, p.Deadline.Sub(p.now)), p.cancel)
	default:
		p.runner.opts.Clock.AfterFunc(outstandingGrace, p.cancel)
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
		case e := <-p.results:
			p.now = p.runner.opts.Clock.Now()
			p.handleResult(e)
		case r := <-p.replies:
			p.now = p.runner.opts.Clock.Now()
			p.handleReply(r)
		case i := <-p.capacityFreed:
			p.now = p.runner.opts.Clock.Now()
			p.recheck(i)
		case <-p.runner.opts.Clock.After(p.nextWake().Sub(p.now)):
			p.now = p.runner.opts.Clock.Now()
			p.tick()
		case <-ctx.Done():
			p.now = p.runner.opts.Clock.Now()
			return p.finish(ClientGone)
		case <-p.runner.opts.Ended:
			p.now = p.runner.opts.Clock.Now()
			return p.finish(p.stopped())
		}
	}
}

// passOnCapacity passes capacity that was announced to this request, which no longer needs it, to the next waiter.
// Otherwise it stays unused until the next reply.
func (p *plan) passOnCapacity() {
	for {
		select {
		case i := <-p.capacityFreed:
			p.Shards[i].Wake(p.now)
		default:
			return
		}
	}
}

// decided reports whether waiting can no longer improve the result in time, and returns the ending.
func (p *plan) decided() (Ending, bool) {
	answered := p.report.Answered
	switch {
	case answered == len(p.shards):
		return Complete, true
	case len(p.shards)-p.failedShards < p.minAnswered:
		return TooFewShards, true
	case p.pendingShards == 0:
		return Partial, true
	case answered >= p.minAnswered && !p.now.Before(p.cutoff()):
		return Partial, true
	case !p.now.Before(p.giveUpAt()):
		return Expired, true
	}
	return "", false
}

// hostEnded reports whether the host stops and all requests have to be answered. Nothing may be sent then, as a replica would
// run it for no one.
func (p *plan) hostEnded() bool {
	select {
	case <-p.runner.opts.Ended:
		return true
	default:
		return false
	}
}

// stopped returns the ending of a request that is in flight when the host stops.
func (p *plan) stopped() Ending {
	if p.report.Answered >= p.minAnswered {
		return Partial
	}
	return Expired
}

// cutoff returns the time at which an answer with enough but not all parts is sent.
func (p *plan) cutoff() time.Time { return p.Arrived.Add(p.timing.cutoff) }

func (p *plan) giveUpAt() time.Time { return p.Deadline.Add(-deadlineMargin) }

// nextWake returns the time of the next scheduled check.
func (p *plan) nextWake() time.Time {
	next := p.giveUpAt()
	if cutoff := p.cutoff(); p.now.Before(cutoff) && cutoff.Before(next) {
		next = cutoff
	}
	for i := range p.shards {
		s := &p.shards[i]
		if s.answered || s.failed {
			continue
		}
		for _, at := range []time.Time{s.hedgeAt, s.recheckAt, s.resendAt} {
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
		if s.answered || s.failed {
			continue
		}
		if !s.recheckAt.IsZero() && !p.now.Before(s.recheckAt) {
			p.recheck(i)
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
	p.endSubqueries()
	p.report.Ending = end
	p.report.Usual, p.report.Hedge = p.timing.medianLatency, p.timing.hedgeDelay
	for i := range p.shards {
		p.stopWaiting(i)
	}
	p.passOnCapacity()
	p.report.Results = make([]exchange.Result, len(p.shards))
	for i := range p.shards {
		p.report.Results[i] = p.shards[i].result
		// An idempotent attempt still in flight is not waited for, but may have run.
		p.report.Ran = p.report.Ran || p.shards[i].running > 0
	}
	return p.report
}
