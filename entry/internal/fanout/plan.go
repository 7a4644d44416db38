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
	// maxTries bounds the attempts of a shard in one round: the first, a hedge or retry, and one more.
	maxTries = 3
	// lostShare is the share of shards whose replicas dropped the index version above which a query that prefers
	// latency is restarted. A query that prefers coverage is restarted at the first such shard.
	lostShare = 0.1
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
	// took is the sum of the durations of the successful attempts.
	took time.Duration
	// gone counts the shards given up after a replica rejected the index version.
	gone int
	// lost is set when so many shards are gone that the query should be restarted.
	lost bool
	// busy is set when a shard was given up because its replicas were at their limits.
	busy bool
	// crowded is set if shards were late at the last check for hedges.
	crowded bool
	// soft is set once the soft deadline has passed; the plan then ends as soon as one shard has answered.
	soft bool
	// holds and split are the prefix and suffix of this plan's index version and shard count in a reply's holdings header.
	holds, split string

	// hedgeAt and lookAt are the times of the next check of late and of waiting shards; zero means never.
	hedgeAt, lookAt time.Time
	wake            <-chan time.Time
	wakeAt          time.Time
}

type shard struct {
	tries    [maxTries]*replica.Replica
	began    [maxTries]time.Time
	ended    [maxTries]bool
	n        int
	inflight int
	// sent counts all attempts, while n starts again at zero with each round.
	sent int
	// rounds counts the rounds in which replicas shed the shard and none was left, next is the time of the next round.
	rounds int
	next   time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// wait is the name of the decision that waits for a free replica, empty if none does, and why is its reason.
	wait, why string
	closed    bool
	answered  bool
	// gone is set if a replica rejected the index version, shed if one shed an attempt.
	gone, shed bool
	// failure is the kind of the last failed attempt.
	failure upstream.Kind
	hits    []upstream.Hit
}

func (s *shard) tried() []*replica.Replica { return s.tries[:s.n] }

// result is the end of attempt k of a shard; k is the constant trial for a probe.
type result struct {
	shard, k int
	replica  *replica.Replica
	res      upstream.Result
	took     time.Duration
}

const trial = -1

// newPlan sends the first attempt of every shard. The suffix distinguishes the attempt ids of two plans of one query.
func newPlan(q *query, vm replica.VersionMap, suffix string) *plan {
	n := len(vm.Holders)
	p := &plan{
		query: q, vm: vm, id: q.req.ID + suffix, began: q.now, shards: make([]shard, n), results: make(chan *result, n*(maxTries+1)), open: n,
		holds: strconv.FormatInt(vm.Version, 10) + "=", split: "/" + strconv.Itoa(n),
	}
	p.ctx, p.cancel = context.WithCancel(q.ctx)
	if delay := q.run.policy.Delay(); delay > 0 && !q.req.Suspect && q.req.Document.Hedge.BudgetPercent > 0 {
		p.hedgeAt = q.now.Add(delay)
	}
	for i := range p.shards {
		p.try(i, WhatRoute, "")
		p.trial(i)
	}
	return p
}

// collect handles results until no shard is pending, the deadline passes, or the query has to be restarted. After the
// soft deadline it ends with the first answer.
func (p *plan) collect() {
	for p.open > 0 && !p.lost && (!p.soft || p.answered == 0) {
		select {
		case got := <-p.results:
			p.now = p.run.opts.Clock.Now()
			p.take(got)
			p.drain()
		case <-p.alarm():
			p.wake = nil
			p.now = p.run.opts.Clock.Now()
			p.tick()
		case <-p.ctx.Done():
			p.now = p.run.opts.Clock.Now()
			return
		}
	}
}

// drain handles all queued results without reading the clock and the timers for each.
func (p *plan) drain() {
	for p.open > 0 && !p.lost {
		select {
		case got := <-p.results:
			p.take(got)
		default:
			return
		}
	}
}

// alarm returns a channel that receives at the next check for hedges, check of waiting shards or soft deadline.
func (p *plan) alarm() <-chan time.Time {
	next := earliest(p.hedgeAt, p.lookAt)
	if p.req.Document.Prefer == document.PreferLatency && !p.soft {
		next = earliest(next, p.softAt())
	}
	if next.IsZero() {
		return nil
	}
	if p.wake == nil || next.Before(p.wakeAt) {
		p.wake, p.wakeAt = p.run.opts.Clock.After(next.Sub(p.now)), next
	}
	return p.wake
}

func (p *plan) softAt() time.Time { return p.req.Arrived.Add(p.req.Document.Deadline.Soft.Std()) }

func (p *plan) tick() {
	if p.req.Document.Prefer == document.PreferLatency && !p.now.Before(p.softAt()) {
		p.soft = true
	}
	if !p.lookAt.IsZero() && !p.now.Before(p.lookAt) {
		p.lookAt = time.Time{}
		p.look()
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
