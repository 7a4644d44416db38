package front

import (
	"errors"
	"slices"
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/core/routeplan"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/forward"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/scatter"
)

// errStarting is returned while the host has just started and has no servers yet.
var errStarting = errors.New("the host has no configuration yet, it is starting")

// unknownHere lists what no host can know of a request that it doesn't have, without asking others.
var unknownHere = []string{
	"requests that other hosts have at the replicas: only their effect on reply times is known here",
	"free memory at the moment of the request, and whether its header and body are within the limits",
	"a quarantine of the same request with a body",
}

// unknownAllowance is added where the keeper of a customer's allowance is another host.
const unknownAllowance = "tokens left at the keeper of the customer's allowance: only the keeper knows"

// explainRoute explains what this host would do with a request, without an effect on later requests.
func (f *Front) explainRoute(args *routeplan.Args) (*routeplan.Plan, error) {
	fwd := f.forwarder.Load()
	if fwd == nil {
		return nil, errStarting
	}
	v := f.membership.peekView()
	shares := f.coldShares.Copy(func() (all, serving []member.Host) { return f.membership.list.Hosts(), v.serving })
	budgetShare := f.budgetShare.Copy(func() float64 { return v.share })
	plan, err := fwd.Explain(args, forward.ExplainOptions{
		Scatter: scatter.ExplainOptions{Share: budgetShare.Get(), Zones: v.zones.names, Hosts: func(zone string) []string { return f.subqueryHosts.peek(v.zones, zone) }},
		Copy:    endpoints.CopyOptions{Share: v.share, Self: v.self, Serving: v.serving, ColdShare: shares.Of},
		Allowance: func(c *route.Customer, timeout time.Duration) *routeplan.Allowance {
			return f.allowances.Explain(c, f.allowanceViewOf(v), timeout)
		},
	})
	if err != nil {
		return nil, err
	}
	plan.Host, plan.Zone, plan.Region, plan.Leaving = f.opts.Peer.String(), f.opts.Zone, f.opts.Region, f.drain.Leaving()
	plan.Serving = slices.ContainsFunc(v.serving, func(h member.Host) bool { return h.ID == v.self })
	plan.Unknown = unknown(plan.Allowance)
	return plan, nil
}

// unknown lists what the host can't know of a request with an allowance, which is nil if it belongs to no customer.
func unknown(a *routeplan.Allowance) []string {
	list := slices.Clone(unknownHere)
	if a != nil && (a.New.Asks != "" || a.Returning.Asks != "") {
		list = append(list, unknownAllowance)
	}
	return list
}

// peekView returns the placement like currentView, but does not cache a new one: the time of the last change of the
// serving hosts, which the view holds, must not depend on an operator's question.
func (j *membership) peekView() memberView {
	hosts := j.list.Hosts()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.view.list == &hosts[0] {
		return j.view
	}
	return j.computeView(hosts)
}

// peek returns the peer addresses of the hosts of a zone that are not backing off. Unlike peer, it forgets no expired
// backoff.
func (s *subqueryPeers) peek(zones zoneHosts, zone string) []string {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, h := range zones.hosts[zone] {
		if until, ok := s.backoff[h.ID]; !ok || !now.Before(until) {
			list = append(list, h.Peer.String())
		}
	}
	return list
}
