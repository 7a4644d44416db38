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

// What a decision of a query is called in its explanation.
const (
	// WhatRoute sends the first try of a shard.
	WhatRoute = "route"
	// WhatRetry sends a try after one that failed.
	WhatRetry = "retry"
	// WhatHedge sends a try beside one that is late.
	WhatHedge = "hedge"
	// WhatTrial sends a single try to a replica that is out, beside the first.
	WhatTrial = "trial"
	// WhatWait holds a shard back until one of its replicas is free.
	WhatWait = "wait"
	// WhatMiss gives a shard up.
	WhatMiss = "miss"
	// WhatReplan starts the query again on another version.
	WhatReplan = "replan"
)

// spareDecisions is the room for decisions beyond the first tries, so that a usual query's list doesn't grow.
const spareDecisions = 8

// Options configures a Runner.
type Options struct {
	// Clock tells the time.
	Clock clock.Clock
	// Send sends one try to a replica and returns how it ended.
	Send func(ctx context.Context, r *replica.Replica, try upstream.QueryTry) upstream.Result
	// Heard is told what the result of a try at a version said of its replica, before the next decision; it may be nil.
	Heard func(r *replica.Replica, version int64, res upstream.Result)
	// Answered is told how long a shard took to answer from the start of the run, the wait for a free replica included;
	// it may be nil.
	Answered func(took time.Duration)
	// Judged is told when a replica was taken out or brought back, and why; it may be nil.
	Judged func(r *replica.Replica, out bool, why string)
	// IntN draws the candidates for each try and must be safe for concurrent use; nil means rand.IntN.
	IntN func(n int) int
}

// Runner runs the queries of one service.
type Runner struct {
	opts    Options
	policy  *hedge.Policy
	hedges  *budget.Budget
	retries *budget.Budget
}

// New returns a runner; Clock and Send must be set.
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

// Request is one query, pinned to the shard map of one version.
type Request struct {
	// ID starts the id of every try; it must be unique to this run, since a reply is known by it. An id that a caller
	// chose is not: callers reuse theirs.
	ID       string
	Arrived  time.Time
	Deadline time.Time
	Query    caller.Query
	Document document.Document
	Map      replica.VersionMap
	// Suspect says that the request may be what breaks upstreams: it gets no second try beside another, and none after
	// a broken one.
	Suspect bool
	// Replan returns the map that a query would be pinned to now; nil means that the query is never started again.
	Replan func() (replica.VersionMap, bool)
}

// Report is what a query came to, with the decisions taken on the way.
type Report struct {
	// Snapshot names the version and map that every hit comes from.
	Snapshot  caller.Snapshot
	Hits      []caller.Hit
	Coverage  caller.Coverage
	Decisions []explain.Decision
	// Reason says what the caller should know of how the answer came about; it is empty where nothing is unusual.
	Reason string
	// Sent counts the tries sent upstream; Needed is what a run without hedges and retries sends.
	Sent, Needed int
	// RetryAfter is when the caller should come back for what is missing, zero where nothing is.
	RetryAfter time.Duration
}

// Run sends the query to every shard and returns when none can answer any more or the deadline has passed.
func (run *Runner) Run(ctx context.Context, req Request) Report {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	body := upstream.Query{Query: req.Query.Query, Limit: req.Query.Limit}.Encode()
	doc := &req.Document
	run.policy.SetQuantile(doc.Hedge.Quantile, doc.Hedge.BudgetPercent)
	run.hedges.Earn(len(req.Map.Holders), doc.Hedge.BudgetPercent)
	run.retries.Earn(len(req.Map.Holders), doc.Retry.BudgetPercent)
	q := &query{run: run, req: req, ctx: ctx, body: body, slots: doc.Upstream.Slots, now: run.opts.Clock.Now(), decisions: make([]explain.Decision, 0, len(req.Map.Holders)+spareDecisions)}
	first := newPlan(q, req.Map, "")
	first.collect()
	if !first.lost {
		return first.finish("")
	}
	next, ok := q.replan(req.Map)
	if !ok {
		first.lost = false
		first.collect()
		return first.finish("")
	}
	return q.better(first, newPlan(q, next, "b"))
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
	// now is the time of the event that is being handled.
	now time.Time
}

// replan returns a complete map to start again on, once a query.
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

// better runs the second plan and returns the report of the one that covers more. The two are never merged, since they
// are of two snapshots.
func (q *query) better(first, second *plan) Report {
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
