package fanout

import (
	"time"

	"guavaspring.org/entry/internal/choice"
)

// hedge sends another attempt for each late shard if the policy and the budget allow it and a free replica of the shard
// is expected to reply within the hedge delay.
func (p *plan) hedge() {
	delay := p.run.policy.Delay()
	p.hedgeAt = p.now.Add(delay)
	late := 0
	for i := range p.shards {
		if p.shards[i].late(p.now, delay) {
			late++
		}
	}
	again := p.hadLate
	p.hadLate = late > 0
	if late == 0 || !p.run.policy.Allow(late, p.answered, len(p.shards), again) {
		return
	}
	for i := range p.shards {
		if p.shards[i].late(p.now, delay) {
			p.sendHedge(i, delay)
		}
	}
}

// late reports whether the last attempt of the shard has run for the delay, doubled for each other attempt in flight. A
// hedge can be late too: its replica may have become unresponsive together with the first.
func (s *shard) late(now time.Time, delay time.Duration) bool {
	if s.closed || s.inflight == 0 || s.n >= maxAttempts {
		return false
	}
	return now.Sub(s.began[s.n-1]) >= delay<<(s.inflight-1)
}

func (p *plan) sendHedge(i int, delay time.Duration) {
	s := &p.shards[i]
	r, verdict := choice.Pick(p.run.opts.IntN, p.now, p.vm.Holders[i], s.tried())
	if verdict != choice.Found || !r.Eject.InRotation() || !p.timeLeft() {
		return
	}
	if est, _ := r.Estimate(p.now); est > delay || !p.run.hedges.Take() {
		return
	}
	p.send(i, r, WhatHedge, "no answer after "+delay.String())
}
