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
	// maxTries bounds the tries of one shard within one plan: the first, a hedge or retry, and one more.
	maxTries = 3
	// lostShare is the share of shards lost with their version above which a query that prefers latency is started
	// again; one that prefers coverage is at the first.
	lostShare = 0.1
)

// plan is one run of a query over the shard map of one version.
type plan struct {
	*query
	vm      replica.VersionMap
	id      string
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	shards  []shard
	results chan *result
	// open counts the shards that may still answer, answered those that have, waiting those that look for a free
	// replica.
	open, answered, waiting int
	// took is the sum of the times of the tries that answered.
	took time.Duration
	// gone counts the shards given up because every replica tried refused the version.
	gone int
	// lost says that so many shards are gone that the query should be started again.
	lost bool
	// busy says that a shard was given up since its replicas were full.
	busy bool
	// crowded says that shards were late at the last look and got no second try.
	crowded bool
	// soft says that the soft deadline has passed, and that the first answer ends the plan.
	soft bool
	// holds and split are how a reply's header names the plan's version and number of shards.
	holds, split string

	// hedgeAt and lookAt are when late and waiting shards are looked at next; zero means never.
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
	// sent counts the tries ever sent, which n doesn't once replicas that shed are asked again.
	sent int
	// rounds counts how often all replicas left have shed the shard, and next is when it looks again.
	rounds int
	next   time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// wait is the decision that waits for a free replica, empty where none does, and why its reason.
	wait, why string
	closed    bool
	answered  bool
	// gone says that a replica refused the version, shed that one was full.
	gone, shed bool
	// failure is how the last try failed.
	failure upstream.Kind
	hits    []upstream.Hit
}

func (s *shard) tried() []*replica.Replica { return s.tries[:s.n] }

// result is the end of try k of a shard; a trial has none of its own.
type result struct {
	shard, k int
	replica  *replica.Replica
	res      upstream.Result
	took     time.Duration
}

const trial = -1

// newPlan sends the first try of every shard; suffix tells the tries of two plans of one query apart.
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

// collect takes results until no shard can answer, the time is up, or the version is lost.
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

// drain takes the results that have come meanwhile, without reading the clock and the timers for each.
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

// alarm returns a channel that receives when there is something to look at.
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
