package fanout

import (
	"time"
)

const (
	// recheckDivisor divides the median reply time into the interval at which a shard whose replicas are all at their
	// limit checks for a free one. If no replica is left after sheds, the interval doubles with each round.
	recheckDivisor = 4
	// maxDoublings is the greatest number of doublings.
	maxDoublings = 5
	// minRecheckDelay and maxRecheckDelay bound the interval before it is doubled.
	minRecheckDelay = 250 * time.Microsecond
	maxRecheckDelay = 5 * time.Millisecond
)

// startRound starts another round of attempts, after a delay, for a shard that was shed and has no replica left to ask.
//
// The slots of a replica are shared by many hosts. Five slots at sixty percent utilization shed one attempt in nine by
// chance, and one host sees too little of the load to predict which. Giving the shard up would leave it missing from a
// response that a few milliseconds of waiting would have completed.
func (p *plan) startRound(i int, why string) {
	s := &p.shards[i]
	s.n, s.shed = 0, false
	s.nextRound = p.now.Add(p.recheckDelay() << min(s.rounds, maxDoublings))
	s.rounds++
	p.waitForReplica(i, WhatRetry, why)
}

func (p *plan) recheckDelay() time.Duration {
	return min(max(p.run.policy.Median()/recheckDivisor, minRecheckDelay), maxRecheckDelay)
}

// waitForReplica queues a shard until a replica is free, as long as a reply can still arrive in time.
//
// It absorbs bursts beyond the concurrency of the replicas. Giving the shard up at once would reduce the coverage of
// responses that a few milliseconds of waiting would complete; attempts sent anyway would be shed and then retried. The
// wait ends once the time to the deadline is shorter than the median reply time.
func (p *plan) waitForReplica(i int, what, why string) {
	s := &p.shards[i]
	if !p.timeLeft() {
		p.busy = true
		p.miss(i, nil, join(why, "every replica is at its limit"))
		return
	}
	if s.waitDecision == "" {
		s.waitDecision, s.waitReason = what, why
		p.waiting++
		p.decide(WhatWait, i, nil, join(why, "every replica is at its limit"))
	}
	next := s.nextRound
	if !next.After(p.now) {
		next = p.now.Add(p.recheckDelay())
	}
	p.recheckAt = earliest(p.recheckAt, next)
}

func (p *plan) stopWaiting(s *shard) {
	if s.waitDecision != "" {
		s.waitDecision, s.waitReason = "", ""
		p.waiting--
	}
}

// timeLeft reports whether the median reply time ends before the deadline.
func (p *plan) timeLeft() bool {
	return p.now.Add(p.run.policy.Median()).Before(p.req.Deadline)
}

func (p *plan) recheckWaiting() {
	if p.waiting == 0 {
		return
	}
	for i := range p.shards {
		s := &p.shards[i]
		switch {
		case s.waitDecision == "" || s.closed:
		case s.nextRound.After(p.now):
			p.waitForReplica(i, s.waitDecision, s.waitReason)
		default:
			p.attempt(i, s.waitDecision, s.waitReason)
		}
	}
}
