package scatter

import (
	"math/rand/v2"
	"time"

	"guavaspring.org/core/routeplan"
	"guavaspring.org/entry/internal/fairness"
	"guavaspring.org/entry/internal/routestats"
)

// ExplainOptions holds the values by which a request is explained. They take the place of functions of the runner,
// which may record or cache what they return.
type ExplainOptions struct {
	// Share is as in Options: this host's share of the budget for extra attempts.
	Share float64
	// Zones are the other availability zones with a host that accepts subqueries, Hosts returns the peer addresses of
	// those in a zone.
	Zones []string
	Hosts func(zone string) []string
}

// maxReturningShare bounds the time that a returning client is assumed to have waited, as a share of the timeout.
const maxReturningShare = 0.9

// Explain explains what Run would do with a query. The shards and the statistics of the route must be copies, see
// endpoints.Table.Copy and routestats.Route.Copy, since the decisions record what they see.
//
// The decisions are those of a plan that never starts. Its random draws come from a stream of their own with a fixed
// seed, so that the same state gives the same explanation, and requests draw the same numbers as without it.
func (run *Runner) Explain(q Query, o ExplainOptions) routeplan.Path {
	draw := rand.New(rand.NewPCG(1, 1)).Float64
	shadow := &Runner{opts: Options{
		Clock: run.opts.Clock, Share: func() float64 { return o.Share }, Draw: func() float64 { return 0 }, Region: run.opts.Region,
		Subqueries: Subqueries{Zones: func() []string { return o.Zones }}, Shares: run.opts.Shares.Copy(q.Class.Pool),
	}}
	p := newPlan(shadow, q)
	out := routeplan.Path{Weight: 1, Usual: p.timing.medianLatency, Hedge: p.timing.hedgeDelay}
	out.Admission = p.explainAdmission(q, run.opts.Shares.Copy(q.Class.Pool))
	for _, g := range p.subqueryGroups() {
		group := routeplan.Group{Zone: g.Zone, Hosts: o.Hosts(g.Zone)}
		for _, i := range g.Shards {
			group.Services = append(group.Services, p.Shards[i].Name)
		}
		out.Groups = append(out.Groups, group)
	}
	waits := p.expectedDelays()
	for i, s := range p.Shards {
		service := s.Explain(p.now, p.need(i), shadow.opts.Share(), draw)
		service.Wait = waits[i]
		out.Services = append(out.Services, service)
	}
	return out
}

// explainAdmission returns the figures of the overload decision. shares is a copy for a client that comes back.
func (p *plan) explainAdmission(q Query, shares *fairness.Shares) routeplan.Admission {
	a := routeplan.Admission{Unservable: p.unservable()}
	p.overloaded()
	d := p.report.Overload
	a.Wait, a.Bound, a.New = d.Wait, d.Bound, d.Chance
	a.Returning, a.ReturningWaited = p.explainReturning(q, d.Bound, shares)
	return a
}

// explainReturning returns the probability with which a client is refused that comes back after it has waited for the
// bound of the overload decision, and that time.
func (p *plan) explainReturning(q Query, bound time.Duration, shares *fairness.Shares) (chance float64, waited time.Duration) {
	timeout := q.Deadline.Sub(q.Arrived)
	waited = min(bound, time.Duration(maxReturningShare*float64(timeout)))
	learned := &routestats.Route{}
	q.Learned.Recent.CopyTo(&learned.Recent)
	q.Learned.Unloaded.CopyTo(&learned.Unloaded)
	// The waited time is the median of the stated timeouts less the client's own.
	learned.Patience.Elapsed(timeout)
	learned.Patience.Elapsed(timeout)
	request := *q.Request
	request.Patience = timeout - waited
	q.Request, q.Learned = &request, learned
	runner := *p.runner
	runner.opts.Shares = shares
	returning := newPlan(&runner, q)
	returning.overloaded()
	return returning.report.Overload.Chance, waited
}
