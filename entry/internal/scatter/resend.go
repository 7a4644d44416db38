package scatter

import (
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
)

// mayResend reports whether a shard whose last try ended with a result has no other replica left that it may go to, and
// may go once more to one that turned it away.
//
// It answers replicas that turn away requests at random, or for a moment, without running them. A request may go to so
// many replicas of a shard and no more; where half of all turn away six in ten, one shard in three loses both, and of
// pages over many shards hardly one has enough. What was not run can be asked again of the same replica, which costs a
// millisecond and one of the extra tries that all hosts share.
func (p *plan) mayResend(s *shard, res exchange.Result) bool {
	exhausted := s.sent >= p.Route.Attempts
	notRun := res.Kind == upstream.KindShed || res.Busy
	return exhausted && notRun && len(s.turnedAway) > 0 && s.resent < resends && p.now.Add(2*p.timing.usual).Before(p.end())
}

// resend sends a shard once more to the best of the replicas that turned it away, a usual reply after the last of them
// did: a queue that was full has room again by then. One that may have run the request is not among them.
func (p *plan) resend(i int) {
	s := &p.shards[i]
	need := p.need(i)
	need.Among, need.Tried = s.turnedAway, nil
	c, verdict := p.Shards[i].Pick(p.now, need, p.run.opts.Draw)
	switch {
	case verdict != endpoints.Found:
		p.miss(i, "", "the replicas that turned it away have no room")
	case !p.Shards[i].Budget.Retry(p.now, p.run.opts.Share()):
		p.report.Denied++
		p.miss(i, "", "the budget of extra tries is spent")
	default:
		s.resent++
		p.report.Retries++
		p.send(i, c, Retry, "turned away before")
	}
}
