package scatter

import (
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/overload"
	"guavaspring.org/entry/internal/queueing"
)

// backWithin is the part of the time that a client has left within which it comes back.
const backWithin = 1.0 / 3

// unservable reports whether too few shards have a replica that serves.
//
// It answers zones that are evacuated, and shards all of whose replicas left: asked all the same, the other shards work
// for an answer that can't come, and the client is told that its request may have run.
func (p *plan) unservable() bool {
	served := 0
	for i, s := range p.Shards {
		if s.Served(p.Homes) {
			served++
			continue
		}
		p.shards[i].result = exchange.Result{Kind: upstream.KindNotSent, Detail: "no replica serves"}
	}
	return served < p.least
}

// overloaded decides whether the request is refused as a whole.
func (p *plan) overloaded() bool {
	own := p.spare()
	d := overload.Decide(overload.Load{
		Delays: p.delays(), Least: p.least, Spare: own, LeastSpare: p.leastSpare(own),
		Waited: p.Learned.Patience.Waited(p.Request.Patience), Draw: p.run.opts.Draw(),
	})
	p.report.Overload = d
	if d.Crowded {
		p.Learned.Unloaded.Refused(p.now)
	}
	return d.Refused
}

// delays returns how long a try of each shard is expected to wait for room.
func (p *plan) delays() []time.Duration {
	list := make([]time.Duration, len(p.Shards))
	together := p.together()
	for i, s := range p.Shards {
		list[i] = s.Delay(p.now, together)
	}
	return list
}

// together returns how long the newest replies of all shards waited.
//
// It answers a burst over a large fleet: a host that sends each shard thirty requests a second learns from its replies
// in a few tenths of one that they queue, and by then all hosts have filled the queues and refuse everything, until
// those are empty and all let everything in. The ten or more shards of a page tell it ten times sooner.
func (p *plan) together() time.Duration {
	waits := make([]time.Duration, 0, len(p.Shards))
	for _, s := range p.Shards {
		if wait, ok := s.Newest(p.now); ok {
			waits = append(waits, wait)
		}
	}
	return queueing.Quantile(waits)
}

// slowest is how many times as long as the usual one the slowest reply takes that a page over shards waits for while
// nothing queues.
const slowest = 2

// spare returns how long a try may wait for the answer to be in time; where the work alone takes longer than that, as
// much again as the work.
func (p *plan) spare() time.Duration {
	work := p.unloaded
	if work == 0 {
		work = p.timing.usual
	}
	return max(p.timing.cutoff-slowest*work, work)
}

// leastSpare returns the least time that any route to the same shards has, where this one has own.
func (p *plan) leastSpare(own time.Duration) time.Duration {
	least := own
	for _, s := range p.Shards {
		least = min(least, s.Spare(p.now, own))
	}
	return least
}

// refuse ends a request to which nothing was sent. Clients come back once or twice, and within a third of the time that
// they have left: those that come back late in it, each at another moment, find the burst over more often than those
// that come at once.
func (p *plan) refuse() Report {
	left := p.end().Sub(p.now)
	p.report.RetryAfter = p.report.Overload.Wait + time.Duration((1+p.run.opts.Draw())*backWithin/2*float64(left))
	return p.finish(Overload)
}
