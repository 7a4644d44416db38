package fanout

import (
	"context"
	"strconv"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/choice"
	"guavaspring.org/entry/internal/replica"
)

// attempt sends another attempt of a shard if a replica is free, queues the shard if one may become free, and gives the
// shard up if no replica is left.
func (p *plan) attempt(i int, what, why string) {
	s := &p.shards[i]
	r, verdict := choice.Pick(p.run.opts.IntN, p.now, p.vm.Holders[i], s.tried())
	switch {
	case verdict == choice.None && s.inflight == 0 && s.shed:
		p.startRound(i, why)
	case verdict == choice.None && s.inflight == 0:
		p.miss(i, nil, join(why, "no replica is left to try"))
	case verdict == choice.Busy && s.inflight == 0:
		p.waitForReplica(i, what, why)
	case verdict == choice.Found && what == WhatRetry && !p.mayRetry(s, r):
		if s.inflight == 0 {
			p.miss(i, r, join(why, "the retry budget is spent"))
		}
	case verdict == choice.Found:
		p.send(i, r, what, why)
	}
}

// mayRetry reports whether the shard may be retried at r. A retry is charged to the retry budget if the failed attempt
// may have run.
//
// An attempt that certainly did not run is retried free of charge: a replica that drains, has dropped the index version
// or can't be reached did no work for it, and one that sheds is paced by its concurrency limit. The first broken
// attempt of a shard is free too while r is in rotation: a crash breaks all attempts that a replica runs at once, more
// than the budget ever holds, and responses would lack shards that two healthy replicas could answer. If every replica
// breaks its attempts, all are soon ejected, and the budget bounds the load again.
func (p *plan) mayRetry(s *shard, r *replica.Replica) bool {
	switch {
	case s.failure.NotRun() || s.failure == upstream.KindVersionGone:
		return true
	case s.failure == upstream.KindBroken && s.n == 1 && r.Eject.InRotation():
		return true
	default:
		return p.run.retries.Take()
	}
}

func (p *plan) send(i int, r *replica.Replica, what, why string) {
	s := &p.shards[i]
	p.stopWaiting(s)
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancel(p.ctx)
	}
	k := s.n
	s.attempts[k], s.began[k] = r, p.now
	s.n++
	s.sent++
	s.inflight++
	p.decide(what, i, r, why)
	p.start(s.ctx, i, k, s.sent, r)
}

// sendProbe sends a probe to an ejected replica of the shard, beside the first attempt. The query does not wait for it:
// the probe may outlive the query.
func (p *plan) sendProbe(i int) {
	if p.req.Suspect {
		return
	}
	r := choice.Trial(p.now, p.vm.Holders[i])
	if r == nil || p.shards[i].n == 0 || r == p.shards[i].attempts[0] {
		return
	}
	p.decide(WhatTrial, i, r, "a single try to see whether it can be used")
	p.start(context.WithoutCancel(p.ctx), i, probeIndex, 0, r)
}

// start sends attempt k of the current round of shard i; nth counts the shard's attempts in all rounds.
func (p *plan) start(ctx context.Context, i, k, nth int, r *replica.Replica) {
	p.sent++
	try := upstream.QueryAttempt{
		ID:      p.id + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(nth),
		Version: p.vm.Version, Shard: i, Body: p.body, Patient: nth > 1,
	}
	began := p.now
	r.Begin(began)
	go func() {
		if k == probeIndex {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, p.req.Deadline)
			defer cancel()
		}
		res := p.run.opts.Send(ctx, r, try)
		took := p.run.recordEnd(r, began, p.slots, res)
		p.run.opts.Heard(r, p.vm.Version, res)
		if k == probeIndex {
			p.run.judgeProbe(r, res, took)
		}
		p.results <- &result{shard: i, k: k, replica: r, res: res, took: took}
	}()
}
