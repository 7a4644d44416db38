package scatter

import (
	"slices"
	"time"

	"guavaspring.org/entry/internal/overload"
	"guavaspring.org/entry/internal/queueing"
)

const (
	// recentWaits is how long the queueing delay of a reply counts: waits of the last second would show queues that
	// have long drained, and hosts would refuse too much for as long.
	recentWaits = 100 * time.Millisecond
	// minRecent is the number of such replies that are sufficient; with fewer, those of the last second count.
	minRecent = 8
	// exceptionalRatio is the factor over the delay of most shards from which on a shard's own delay counts, although
	// it is older: only few shards are then overloaded.
	exceptionalRatio = 2
)

// overloadedByClass decides whether the whole request is refused where the configuration distinguishes classes.
func (p *plan) overloadedByClass() bool {
	shares := p.runner.opts.Shares
	own := p.slack()
	waited := p.Learned.Patience.Elapsed(p.Request.Patience)
	least, longest := p.leastSlack(own), shares.Slack(p.now, &p.Class, own)
	if p.Class.Patient {
		shares.Decisive(p.now, &p.Class, float64(p.decisiveDelay())/float64(max(own, time.Millisecond)))
	}
	d := overload.Decide(overload.Load{
		Delays: p.weighedDelays(float64(least) / float64(longest)), Least: p.minAnswered, Spare: own, LeastSpare: least,
		Waited: waited, Draw: p.runner.opts.Draw(),
		Chance: func(ratio float64) (float64, bool) {
			return shares.Chance(p.now, &p.Class, p.work(waited, least), ratio)
		},
	})
	p.report.Overload = d
	if d.Crowded {
		p.Learned.Unloaded.Refused(p.now)
	}
	return d.Refused
}

// work returns the slot time that the request takes at the replicas, zero for a retry.
func (p *plan) work(waited, least time.Duration) time.Duration {
	if float64(waited) > overload.RetryWaitShare*float64(least) {
		return 0
	}
	each := p.unloaded
	if each == 0 {
		each = p.timing.medianLatency
	}
	return each * time.Duration(len(p.Shards))
}

// weighedDelays returns the expected wait for capacity of an attempt at each shard, where the wait at this host counts
// with a weight.
//
// The queue at the host is ordered, so that a request with little time to wait passes those that can wait longer. The
// queue of a replica is not, and holds up all of them.
func (p *plan) weighedDelays(weight float64) []time.Duration {
	list := make([]time.Duration, len(p.Shards))
	common, exceptional := p.replicaDelays()
	for i, s := range p.Shards {
		list[i] = time.Duration(weight * float64(s.HostWait()))
		if s.Occupied(p.now) {
			list[i] += common + max(0, s.QueueDelay(p.now)-exceptional)
		}
	}
	return list
}

// decisiveDelay returns the expected wait for the most delayed shard that must not be missing.
func (p *plan) decisiveDelay() time.Duration {
	delays := make([]time.Duration, len(p.Shards))
	for i, s := range p.Shards {
		delays[i] = s.HostWait()
		if s.Occupied(p.now) {
			// Late replies of replicas with free slots show slow replicas, not a queue.
			delays[i] += s.QueueDelay(p.now)
		}
	}
	slices.Sort(delays)
	return delays[p.minAnswered-1]
}

// replicaDelays returns the present queueing delay at the replicas of most shards, and the delay of the last second
// from which on a single shard is overloaded more than they are.
func (p *plan) replicaDelays() (common, exceptional time.Duration) {
	after := p.now.Add(-recentWaits)
	recent := make([]time.Duration, 0, 4*len(p.Shards))
	last := make([]time.Duration, len(p.Shards))
	for i, s := range p.Shards {
		recent = s.RecentWaits(recent, after)
		last[i] = s.QueueDelay(p.now)
	}
	slices.Sort(last)
	median := last[len(last)/2]
	if len(recent) < minRecent {
		return median, exceptionalRatio * median
	}
	return queueing.MostQuantile(recent), exceptionalRatio * median
}
