package fanout

import (
	"context"
	"strconv"
	"time"

	"guavaspring.org/core/document"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/replica"
)

const (
	// maxAttempts bounds the attempts of a shard in one round: the first, a hedge or retry, and one more.
	maxAttempts = 3
	// replanShare is the share of shards whose replicas dropped the index version above which a query that prefers
	// latency is restarted. A query that prefers coverage is restarted at the first such shard.
	replanShare = 0.1
)

// plan is one run of a query over the shard map of one index version.
type plan struct {
	*query
	vm      replica.VersionMap
	id      string
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	shards  []shard
	results chan *result
	// open counts the pending shards, answered those with a reply, waiting those queued for a free replica.
	open, answered, waiting int
	// totalTook is the sum of the durations of the successful attempts.
	totalTook time.Duration
	// goneShards counts the shards given up after a replica rejected the index version.
	goneShards int
	// needsReplan is set when so many shards are gone that the query should be restarted.
	needsReplan bool
	// busy is set when a shard was given up because its replicas were at their limits.
	busy bool
	// hadLate is set if shards were late at the last check for hedges.
	hadLate bool
	// softPassed is set once the soft deadline has passed; the plan then ends as soon as one shard has answered.
	softPassed bool
	// holdingPrefix and holdingSuffix are the prefix and suffix of this plan's index version and shard count in a
	// reply's holdings header.
	holdingPrefix, holdingSuffix string

	// hedgeAt and recheckAt are the times of the next check of late and of waiting shards; zero means never.
	hedgeAt, recheckAt time.Time
	wake               <-chan time.Time
	wakeAt             time.Time
}

// shard is the state of one shard within a plan.
type shard struct {
	attempts [maxAttempts]*replica.Replica
	began    [maxAttempts]time.Time
	ended    [maxAttempts]bool
	n        int
	inflight int
	// sent counts all attempts, while n starts again at zero with each round.
	sent int
	// rounds counts the rounds in which replicas shed the shard and none was left, next is the time of the next round.
	rounds    int
	nextRound time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	// waitDecision is the name of the decision that waits for a free replica, empty if none does, and waitReason is its
	// reason.
	waitDecision, waitReason string
	closed                   bool
	answered                 bool
	// gone is set if a replica rejected the index version, shed if one shed an attempt.
	gone, shed bool
	// failure is the kind of the last failed attempt.
	failure upstream.Kind
	hits    []upstream.Hit
}

func (s *shard) tried() []*replica.Replica { return s.attempts[:s.n] }

// result is the end of attempt k of a shard; k is probeIndex for a probe.
type result struct {
	shard, k int
	replica  *replica.Replica
	res      upstream.Result
	took     time.Duration
}

// probeIndex stands for the index of an attempt in the result of a probe.
const probeIndex = -1

// newPlan sends the first attempt of every shard. The suffix distinguishes the attempt ids of two plans of one query.
func newPlan(q *query, vm replica.VersionMap, suffix string) *plan {
	n := len(vm.Holders)
	p := &plan{
		query: q, vm: vm, id: q.req.ID + suffix, began: q.now, shards: make([]shard, n), results: make(chan *result, n*(maxAttempts+1)), open: n,
		holdingPrefix: strconv.FormatInt(vm.Version, 10) + "=", holdingSuffix: "/" + strconv.Itoa(n),
	}
	p.ctx, p.cancel = context.WithCancel(q.ctx)
	if delay := q.run.policy.Delay(); delay > 0 && !q.req.Suspect && q.req.Document.Hedge.BudgetPercent > 0 {
		p.hedgeAt = q.now.Add(delay)
	}
	for i := range p.shards {
		p.attempt(i, WhatRoute, "")
		p.sendProbe(i)
	}
	return p
}

// collect handles results until no shard is pending, the deadline passes, or the query has to be restarted. After the
// soft deadline it ends with the first answer.
func (p *plan) collect() {
	for p.open > 0 && !p.needsReplan && (!p.softPassed || p.answered == 0) {
		select {
		case got := <-p.results:
			p.now = p.run.opts.Clock.Now()
			p.handleResult(got)
			p.drain()
		case <-p.nextTimer():
			p.wake = nil
			p.now = p.run.opts.Clock.Now()
			p.handleTimer()
		case <-p.ctx.Done():
			p.now = p.run.opts.Clock.Now()
			return
		}
	}
}

// drain handles all queued results without reading the clock and the timers for each.
func (p *plan) drain() {
	for p.open > 0 && !p.needsReplan {
		select {
		case got := <-p.results:
			p.handleResult(got)
		default:
			return
		}
	}
}

// nextTimer returns a channel that receives at the next check for hedges, check of waiting shards or soft deadline.
func (p *plan) nextTimer() <-chan time.Time {
	next := earliest(p.hedgeAt, p.recheckAt)
	if p.req.Document.Prefer == document.PreferLatency && !p.softPassed {
		next = earliest(next, p.softDeadline())
	}
	if next.IsZero() {
		return nil
	}
	if p.wake == nil || next.Before(p.wakeAt) {
		p.wake, p.wakeAt = p.run.opts.Clock.After(next.Sub(p.now)), next
	}
	return p.wake
}

func (p *plan) softDeadline() time.Time { return p.req.Arrived.Add(p.req.Document.Deadline.Soft.Std()) }

func (p *plan) handleTimer() {
	if p.req.Document.Prefer == document.PreferLatency && !p.now.Before(p.softDeadline()) {
		p.softPassed = true
	}
	if !p.recheckAt.IsZero() && !p.now.Before(p.recheckAt) {
		p.recheckAt = time.Time{}
		p.recheckWaiting()
	}
	if !p.hedgeAt.IsZero() && !p.now.Before(p.hedgeAt) {
		p.hedge()
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
