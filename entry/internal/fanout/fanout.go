package fanout

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/budget"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/hedge"
	"guavaspring.org/entry/internal/replica"
)

// Names of the decisions in the explanation of a query.
const (
	// WhatRoute sends the first attempt of a shard.
	WhatRoute = "route"
	// WhatRetry sends an attempt after a failed one.
	WhatRetry = "retry"
	// WhatHedge sends an attempt beside one that is late.
	WhatHedge = "hedge"
	// WhatTrial sends a probe to an ejected replica, beside the first attempt of the shard.
	WhatTrial = "trial"
	// WhatWait queues a shard until one of its replicas is free.
	WhatWait = "wait"
	// WhatMiss gives up a shard, which is then missing from the response.
	WhatMiss = "miss"
	// WhatReplan restarts the query on another index version.
	WhatReplan = "replan"
)

// extraDecisions is the capacity reserved for decisions beyond the first attempts, so that the slice of a usual query
// is not reallocated.
const extraDecisions = 8

// Options configures a Runner.
type Options struct {
	// Clock returns the current time and the timers.
	Clock clock.Clock
	// Send sends one attempt to a replica and returns its result.
	Send func(ctx context.Context, r *replica.Replica, try upstream.QueryAttempt) upstream.Result
	// Heard is called with the replica, index version and result of each attempt, before the query's next decision. It
	// may be nil.
	Heard func(r *replica.Replica, version int64, res upstream.Result)
	// Answered is called with the time from the start of the run to the reply of a shard, including the wait for a free
	// replica. It may be nil.
	Answered func(took time.Duration)
	// Judged is called with the reason when a replica is ejected (out is true) or returns to rotation. It may be nil.
	Judged func(r *replica.Replica, out bool, why string)
	// IntN draws the candidate replicas of each attempt. It must be safe for concurrent use; nil means rand.IntN.
	IntN func(n int) int
}

// Runner runs the queries of one service.
type Runner struct {
	opts    Options
	policy  *hedge.Policy
	hedges  *budget.Budget
	retries *budget.Budget
}

// New returns a Runner; Clock and Send must be set.
func New(opts Options) *Runner {
	if opts.IntN == nil {
		opts.IntN = rand.IntN
	}
	if opts.Heard == nil {
		opts.Heard = func(*replica.Replica, int64, upstream.Result) {}
	}
	if opts.Answered == nil {
		opts.Answered = func(time.Duration) {}
	}
	if opts.Judged == nil {
		opts.Judged = func(*replica.Replica, bool, string) {}
	}
	return &Runner{opts: opts, policy: hedge.New(), hedges: budget.New(), retries: budget.New()}
}

// Request is one query, pinned to the shard map of one index version.
type Request struct {
	// ID is the prefix of the id of every attempt. It must be unique to this run, since replies are matched by it; ids
	// chosen by callers are not, because callers reuse them.
	ID       string
	Arrived  time.Time
	Deadline time.Time
	Query    caller.Query
	Document document.Document
	Map      replica.VersionMap
	// Suspect marks a request that may itself crash upstreams: it is not hedged, nor retried after an attempt that may
	// have run.
	Suspect bool
	// Replan returns the shard map that a new query would be pinned to; if nil, the query is never restarted.
	Replan func() (replica.VersionMap, bool)
}

// Report holds the merged hits and the coverage of a query, with the decisions taken during its run.
type Report struct {
	// Snapshot is the index version and number of shards that every hit comes from.
	Snapshot  caller.Snapshot
	Hits      []caller.Hit
	Coverage  caller.Coverage
	Decisions []explain.Decision
	// Reason is sent to the caller if the run was unusual, and empty otherwise.
	Reason string
	// Sent counts the attempts; Needed is the number without hedges, retries and probes.
	Sent, Needed int
	// RetryAfter is the delay after which the caller should retry for the missing shards, zero if none is missing.
	RetryAfter time.Duration
}

// Run sends the query to every shard. It returns when no shard is pending, or at the deadline.
func (run *Runner) Run(ctx context.Context, req Request) Report {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	body := upstream.Query{Query: req.Query.Query, Limit: req.Query.Limit}.Encode()
	doc := &req.Document
	run.policy.SetQuantile(doc.Hedge.Quantile, doc.Hedge.BudgetPercent)
	run.hedges.Credit(len(req.Map.Holders), doc.Hedge.BudgetPercent)
	run.retries.Credit(len(req.Map.Holders), doc.Retry.BudgetPercent)
	q := &query{run: run, req: req, ctx: ctx, body: body, slots: doc.Upstream.Slots, now: run.opts.Clock.Now(), decisions: make([]explain.Decision, 0, len(req.Map.Holders)+extraDecisions)}
	first := newPlan(q, req.Map, "")
	first.collect()
	if !first.needsReplan {
		return first.finish("")
	}
	next, ok := q.replan(req.Map)
	if !ok {
		first.needsReplan = false
		first.collect()
		return first.finish("")
	}
	return q.finishReplanned(first, newPlan(q, next, "b"))
}

// query is the state of one run, owned by the goroutine that called Run.
type query struct {
	run       *Runner
	req       Request
	ctx       context.Context
	body      []byte
	slots     int
	decisions []explain.Decision
	sent      int
	replanned bool
	// now is the time of the current event.
	now time.Time
}

// replan returns the complete shard map to restart the query on. A query is restarted at most once.
func (q *query) replan(pinned replica.VersionMap) (replica.VersionMap, bool) {
	q.replanned = true
	if q.req.Replan == nil || q.ctx.Err() != nil {
		return replica.VersionMap{}, false
	}
	vm, ok := q.req.Replan()
	if !ok || vm.Same(pinned) || !vm.Complete() {
		return replica.VersionMap{}, false
	}
	q.decide(WhatReplan, -1, nil, "replicas no longer hold version "+strconv.FormatInt(pinned.Version, 10)+"; started again on version "+strconv.FormatInt(vm.Version, 10))
	return vm, true
}

// finishReplanned runs the second plan and returns the report with the higher coverage. The two are never merged, since
// their hits are of different snapshots.
func (q *query) finishReplanned(first, second *plan) Report {
	a := first.finish("the query was started again")
	second.collect()
	b := second.finish("")
	best := b
	if a.Coverage.Share > b.Coverage.Share {
		best = a
	}
	best.Sent, best.Decisions = q.sent, q.decisions
	best.Reason = "the index version changed meanwhile; the query was started again once"
	return best
}

func (q *query) decide(what string, shard int, r *replica.Replica, why string) {
	d := explain.Decision{AtMS: explain.Millis(q.now.Sub(q.req.Arrived)), What: what, Shard: shard, Why: why}
	if r != nil {
		d.Replica = r.ID
	}
	q.decisions = append(q.decisions, d)
}

func merge(shards []shard, limit int) []caller.Hit {
	hits := []caller.Hit{}
	for i := range shards {
		for _, h := range shards[i].hits {
			hits = append(hits, caller.Hit{ID: h.ID, Score: h.Score, Shard: i, Data: h.Data})
		}
	}
	return caller.Best(hits, limit)
}
