package scatter

import (
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/overload"
	"guavaspring.org/entry/internal/queueing"
)

// retryWindowShare is the share of a client's remaining time within which it retries.
const retryWindowShare = 1.0 / 3

// unservable reports whether too few shards have a replica that serves.
//
// This covers evacuated zones and shards whose replicas have all left. Without the check, the other shards would work
// for an answer that can't succeed, and the client would be informed that its request may have run.
func (p *plan) unservable() bool {
	served := 0
	for i, s := range p.Shards {
		if s.Served(p.Homes) {
			served++
			continue
		}
		p.shards[i].result = exchange.Result{Kind: upstream.KindNotSent, Detail: "the shard has no usable replica"}
	}
	return served < p.minAnswered
}

// overloaded decides whether the whole request is refused.
func (p *plan) overloaded() bool {
	if p.Class.Active() {
		return p.overloadedByClass()
	}
	own := p.slack()
	d := overload.Decide(overload.Load{
		Delays: p.expectedDelays(), Least: p.minAnswered, Spare: own, LeastSpare: p.leastSlack(own),
		Waited: p.Learned.Patience.Elapsed(p.Request.Patience), Draw: p.runner.opts.Draw(),
	})
	p.report.Overload = d
	if d.Crowded {
		p.Learned.Unloaded.Refused(p.now)
	}
	return d.Refused
}

// expectedDelays returns the expected wait for capacity of an attempt at each shard.
func (p *plan) expectedDelays() []time.Duration {
	list := make([]time.Duration, len(p.Shards))
	shared := p.sharedDelay()
	for i, s := range p.Shards {
		list[i] = s.ExpectedWait(p.now, shared)
	}
	return list
}

// sharedDelay returns the queueing delay seen in the newest replies of all shards.
//
// It detects a burst over a large fleet early. A host that sends each shard thirty requests a second needs a few tenths
// of a second to detect queueing from the replies of one shard. By then all hosts have filled the queues and refuse
// everything until the queues are empty, and then all admit everything. The replies of the ten or more shards of a
// query reveal it ten times sooner.
func (p *plan) sharedDelay() time.Duration {
	waits := make([]time.Duration, 0, len(p.Shards))
	for _, s := range p.Shards {
		if wait, ok := s.NewestQueueDelay(p.now); ok {
			waits = append(waits, wait)
		}
	}
	return queueing.Quantile(waits)
}

// slowestReplyFactor is the latency of the slowest reply that a query over shards waits for without queueing, as a
// multiple of the unloaded latency.
const slowestReplyFactor = 2

// slack returns how long an attempt may wait for capacity with the answer still in time. If the work alone takes longer
// than that, it returns the duration of the work.
func (p *plan) slack() time.Duration {
	work := p.unloaded
	if work == 0 {
		work = p.timing.medianLatency
	}
	return max(p.timing.cutoff-slowestReplyFactor*work, work)
}

// leastSlack returns the least slack of any route to the same shards, where this route has own.
func (p *plan) leastSlack(own time.Duration) time.Duration {
	least := own
	for _, s := range p.Shards {
		least = min(least, s.ShortestWait(p.now, own))
	}
	return least
}

// refuse ends a request of which nothing was sent. Clients retry once or twice, within a third of their remaining time.
// Retries that come late in that window and at different moments are more likely to arrive after the burst than
// immediate ones.
func (p *plan) refuse() Report {
	left := p.giveUpAt().Sub(p.now)
	p.report.RetryAfter = p.report.Overload.Wait + time.Duration((1+p.runner.opts.Draw())*retryWindowShare/2*float64(left))
	return p.finish(Overload)
}
