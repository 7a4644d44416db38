package scatter

import (
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/latency"
)

const (
	// hedgeQuantile is the part of the replies that come before a second try is sent: one in ten is late, half of what
	// the budget of extra tries allows, so that the other half is left for failures.
	hedgeQuantile = 0.9
	// hedgeMargin is added to that time, as a share of it: most replies that are a little late are about to come.
	hedgeMargin = 0.15
	// mostHedge is the latest second try, as a share of the objective: after it the second reply would be late as well.
	mostHedge = 0.45
	// answerMargin is how long before the objective an answer leaves: a client's connection costs it 6 ms, each way 3
	// ms, and a busy host some more.
	answerMargin = 14 * time.Millisecond
	// mostMargin bounds that as a share of the objective.
	mostMargin = 0.25
	// firstUsual stands in for the usual time of a reply, as a share of the objective, until replies came.
	firstUsual = 0.2
	// defaultObjective stands in for a route without one.
	defaultObjective = time.Second
)

// timing is when things are due in one request, in time after its arrival.
type timing struct {
	// usual is how long a healthy replica takes, hedge when a second try is sent.
	usual, hedge time.Duration
	// late is how long all but one in ten replies take.
	late time.Duration
	// cutoff is when an answer leaves that has enough parts though not all.
	cutoff time.Duration
}

// timingOf returns the timing of a request of the route, given how long its replies took lately.
//
// A page over ten shards meets a replica that pauses in one of three cases. Without second tries the slowest shard sets
// the time of each page; sent too soon they double the load of the replicas.
func timingOf(r *route.Route, recent *latency.Recent) timing {
	objective := r.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	usual := recent.Quantile(0.5, time.Duration(firstUsual*float64(objective)))
	late := recent.Quantile(hedgeQuantile, 2*usual)
	most := time.Duration(mostHedge * float64(objective))
	margin := min(answerMargin, time.Duration(mostMargin*float64(objective)))
	return timing{
		usual:  usual,
		late:   late,
		hedge:  min(time.Duration((1+hedgeMargin)*float64(late)), most),
		cutoff: objective - margin,
	}
}
