package fanout

import (
	"strings"
	"time"

	"guavaspring.org/core/document"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/eject"
	"guavaspring.org/entry/internal/replica"
)

func (p *plan) handleResult(got *result) {
	s := &p.shards[got.shard]
	if got.k != probeIndex {
		s.inflight--
		s.ended[got.k] = true
		p.judge(got)
	}
	if s.closed {
		return
	}
	res := p.checkHoldings(got.res)
	if res.Kind == upstream.KindOK {
		s.answered, s.hits = true, res.Query.Hits
		p.answered++
		p.totalTook += got.took
		p.run.opts.Answered(p.now.Sub(p.began))
		p.strikeOvertaken(got)
		p.close(got.shard)
		return
	}
	if got.k != probeIndex && !s.closed {
		p.retryOrMiss(got.shard, got.replica, res)
	}
}

// retryOrMiss retries the shard at another replica, or gives it up at once if a retry can't succeed.
func (p *plan) retryOrMiss(i int, r *replica.Replica, res upstream.Result) {
	s := &p.shards[i]
	s.gone = s.gone || res.Kind == upstream.KindVersionGone
	s.shed = s.shed || res.Kind == upstream.KindShed
	s.failure = res.Kind
	why := join(string(res.Kind), res.Detail)
	switch {
	case s.inflight > 0 && s.n > 1:
		// Another attempt is in flight.
	case s.n >= maxAttempts && s.inflight > 0:
	case s.n >= maxAttempts && s.shed:
		p.startRound(i, why)
	case s.n >= maxAttempts:
		p.miss(i, r, join(why, "three tries failed"))
	case p.req.Suspect && !res.Kind.NotRun():
		p.miss(i, r, join(why, "the request may be the cause, and isn't sent again"))
	case !p.timeLeft():
		p.miss(i, r, join(why, "too little time is left for another try"))
	default:
		p.attempt(i, WhatRetry, why)
	}
}

// checkHoldings marks a reply from another shard map as foreign. If a replica is resharded under the same index
// version, its reply would otherwise mix two partitionings: some items would appear twice in the response, some never.
func (p *plan) checkHoldings(res upstream.Result) upstream.Result {
	if res.Kind != upstream.KindOK {
		return res
	}
	for rest := res.Holdings; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		if strings.HasPrefix(part, p.holdingPrefix) && !strings.HasSuffix(part, p.holdingSuffix) {
			res.Kind, res.Detail = upstream.KindForeign, "the replica holds "+part+", not a map of "+p.holdingSuffix[1:]+" shards"
			return res
		}
	}
	return res
}

// judge records an ended or canceled attempt for or against its replica, compared with the other shards of the query.
func (p *plan) judge(got *result) {
	switch got.res.Kind {
	case upstream.KindOK, upstream.KindCanceled:
		p.run.recordSpeed(got, p.usual(), p.vm.Holders[got.shard], p.now)
	case upstream.KindBroken, upstream.KindForeign, upstream.KindError, upstream.KindNotSent:
		p.run.strike(got.replica, p.now, got.res.Detail)
	}
}

// usual returns the mean duration of this query's successful attempts, so that replicas get no strikes for an expensive
// query. Until two shards and half of all shards have answered, it is the median of the service.
func (p *plan) usual() time.Duration {
	if p.answered < 2 || 2*p.answered < len(p.shards) {
		return p.run.policy.Median()
	}
	return p.totalTook / time.Duration(p.answered)
}

func (p *plan) miss(i int, r *replica.Replica, why string) {
	p.decide(WhatMiss, i, r, why)
	p.close(i)
	if !p.shards[i].gone {
		return
	}
	p.goneShards++
	share := float64(p.goneShards) / float64(len(p.shards))
	p.needsReplan = !p.replanned && (p.req.Document.Prefer == document.PreferCoverage || share > replanShare)
}

// close ends a shard and cancels its running attempts, so that its replicas are free for other queries.
func (p *plan) close(i int) {
	s := &p.shards[i]
	p.stopWaiting(s)
	s.closed = true
	p.open--
	if s.inflight == 0 {
		return
	}
	p.judgeRunning(i)
	s.cancel()
}

// strikeOvertaken records a strike against each replica that was overtaken by a later attempt. Its attempt is canceled
// long before its age counts as slow, so without the strike a slow replica would stay in rotation and delay every query
// that it gets by the hedge delay.
func (p *plan) strikeOvertaken(got *result) {
	s := &p.shards[got.shard]
	for k := range got.k {
		if !s.ended[k] {
			s.ended[k] = true
			p.run.strike(s.attempts[k], p.now, "overtaken by a later attempt")
		}
	}
}

// judgeRunning judges the shard's running attempts by their age, as they are about to be canceled.
func (p *plan) judgeRunning(i int) {
	s := &p.shards[i]
	for k := range s.n {
		if !s.ended[k] {
			s.ended[k] = true
			age := p.now.Sub(s.began[k])
			p.run.recordSpeed(&result{shard: i, replica: s.attempts[k], res: upstream.Result{Kind: upstream.KindCanceled}, took: age}, p.usual(), p.vm.Holders[i], p.now)
		}
	}
}

// join returns "why: then", or the one of the two that is not empty.
func join(why, then string) string {
	if why == "" || then == "" {
		return why + then
	}
	return why + ": " + then
}

// isSlow reports whether an attempt of this duration was slow compared with the query's other shards, while another
// replica of the same shard is faster. Without the second condition, a shard that is slow at every replica would have
// all of them ejected.
func isSlow(r *replica.Replica, took, usual time.Duration, holders []*replica.Replica, now time.Time) bool {
	if !eject.Slow(took, usual) {
		return false
	}
	for _, other := range holders {
		if other == r || !other.Eject.InRotation() || other.Draining() {
			continue
		}
		if est, _ := other.Estimate(now); est > 0 && eject.Slow(took, est) {
			return true
		}
	}
	return false
}
