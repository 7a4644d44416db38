package scatter

import (
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/latency"
)

const (
	// hedgeQuantile is the share of replies that arrive before a hedge is sent. One reply in ten is late, which is half
	// of the budget for extra attempts, so that the other half remains for failures.
	hedgeQuantile = 0.9
	// hedgeMarginShare is added to the hedge delay, as a share of it: most replies that are slightly late are about to
	// arrive.
	hedgeMarginShare = 0.15
	// maxHedgeShare bounds the hedge delay as a share of the objective: the reply to a later hedge would be late as
	// well.
	maxHedgeShare = 0.45
	// answerMargin is how long before the objective an answer is sent: a client's connection costs it 6 ms, each way
	// takes 3 ms, and a busy host adds some more.
	answerMargin = 14 * time.Millisecond
	// maxMarginShare bounds answerMargin as a share of the objective.
	maxMarginShare = 0.25
	// initialMedianShare is the assumed median latency before the first replies, as a share of the objective.
	initialMedianShare = 0.2
	// defaultObjective is the latency objective of routes without one.
	defaultObjective = time.Second
)

// timing holds the delays of one request.
type timing struct {
	// medianLatency is the expected latency of a healthy replica, hedgeDelay the delay after an attempt before its
	// hedge.
	medianLatency, hedgeDelay time.Duration
	// tailLatency is the latency that one reply in ten exceeds.
	tailLatency time.Duration
	// cutoff is the time after the request's arrival at which an answer with enough but not all parts is sent.
	cutoff time.Duration
}

// newTiming returns the timing of a request of the route, based on the recent latencies of its replies.
//
// A query over ten shards has a paused replica among them in one of three cases. Without hedges the slowest shard
// determines the latency of every query; hedges sent too early double the load of the replicas.
func newTiming(r *route.Route, recent *latency.Recent) timing {
	objective := r.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	medianLatency := recent.Quantile(0.5, time.Duration(initialMedianShare*float64(objective)))
	tailLatency := recent.Quantile(hedgeQuantile, 2*medianLatency)
	maxHedge := time.Duration(maxHedgeShare * float64(objective))
	margin := min(answerMargin, time.Duration(maxMarginShare*float64(objective)))
	return timing{
		medianLatency: medianLatency,
		tailLatency:   tailLatency,
		hedgeDelay:    min(time.Duration((1+hedgeMarginShare)*float64(tailLatency)), maxHedge),
		cutoff:        objective - margin,
	}
}
