package scatter

import (
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
)

// mayResend reports whether a shard, after an attempt with result res, has used up its attempts and may be sent again
// to a replica that shed it.
//
// This covers replicas that shed requests at random, or for a moment, without running them. A request may go to only a
// limited number of replicas of a shard. If half of all replicas shed six in ten requests, one shard in three is
// rejected by both of its replicas, and hardly any query over many shards gets enough parts. A request that was not run
// can be sent again to the same replica, which costs a millisecond and one of the extra attempts that all hosts share.
func (p *plan) mayResend(s *shard, res exchange.Result) bool {
	exhausted := s.sent >= p.Route.Attempts
	notRun := res.Kind == upstream.KindShed || res.Busy
	return exhausted && notRun && len(s.shedBy) > 0 && s.resent < maxResends && p.now.Add(2*p.timing.medianLatency).Before(p.giveUpAt())
}

// resend sends a shard again to the best of the replicas that shed it. It runs one median reply latency after the last
// of them did so, since a full queue has free slots again by then. Replicas that may have run the request are not among
// them.
func (p *plan) resend(i int) {
	s := &p.shards[i]
	need := p.need(i)
	need.Among, need.Tried = s.shedBy, nil
	c, verdict := p.Shards[i].Pick(p.now, need, p.runner.opts.Draw)
	switch {
	case verdict != endpoints.Found:
		p.giveUp(i, "", "the replicas that shed the request have no capacity")
	case !p.Shards[i].Budget.Retry(p.now, p.runner.opts.Share()):
		p.report.Denied++
		p.giveUp(i, "", "the budget for extra attempts is exhausted")
	default:
		s.resent++
		p.report.Retries++
		p.send(i, c, Retry, "shed by this replica before")
	}
}
