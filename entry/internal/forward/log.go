package forward

import (
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/scatter"
)

// log writes what was decided about a request that did not go as usual.
func (f *Forwarder) log(q *scatter.Query, rep *scatter.Report) {
	if rep.Ending == scatter.Complete && len(rep.Steps) == 0 {
		return
	}
	for _, st := range rep.Steps {
		events.ShardDecided.Log(f.opts.Log, "request", q.Request.ID, "at_ms", st.At.Milliseconds(), "what", st.What, "shard", q.Shards[st.Shard].Name, "replica", st.Replica, "why", st.Why)
	}
	events.Forwarded.Log(f.opts.Log, "request", q.Request.ID, "route", q.Route.Name, "ending", rep.Ending, "answered", rep.Answered, "shards", len(q.Shards),
		"ran", rep.Ran, "took_ms", f.opts.Clock.Now().Sub(q.Arrived).Milliseconds())
}
