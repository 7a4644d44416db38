package forward

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"guavaspring.org/core/opaque"
	"guavaspring.org/core/route"
	"guavaspring.org/core/routeplan"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/fairness"
	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/routestats"
	"guavaspring.org/entry/internal/scatter"
)

// Errors of Explain. None repeats the name of a customer: an operator may have typed a key in its place.
var (
	errNoConfig       = errors.New("the host has no configuration yet")
	errNoReplicas     = errors.New("the host has not read the replicas or the evacuated zones yet")
	errNoCustomer     = errors.New("the configuration names no customer of that name; a key is no name")
	errNoCustomersYet = errors.New("the configuration names no customers")
)

// ExplainOptions holds the values by which a request is explained.
type ExplainOptions struct {
	Scatter scatter.ExplainOptions
	Copy    endpoints.CopyOptions
	// Allowance returns what the host knows of a customer's allowance.
	Allowance func(c *route.Customer, timeout time.Duration) *routeplan.Allowance
}

// Explain explains what ServeHTTP would do with a request, without an effect on later requests.
func (f *Forwarder) Explain(args *routeplan.Args, o ExplainOptions) (*routeplan.Plan, error) {
	table := f.opts.Config()
	switch {
	case table == nil:
		return nil, errNoConfig
	case !f.opts.Known():
		return nil, errNoReplicas
	}
	version := table.Config().Version
	customer, err := namedCustomer(table, args.Customer)
	if err != nil {
		return nil, fmt.Errorf("%w (version %d)", err, version)
	}
	target, err := url.ParseRequestURI(args.Path)
	if err != nil {
		return nil, fmt.Errorf("the path of the request can't be read: %w", err)
	}
	rt := table.Find(args.Host, target.Path)
	if rt == nil {
		return nil, fmt.Errorf("no route matches host name %.64q and path %.64q in version %d of the configuration", args.Host, target.Path, version)
	}
	p := &routeplan.Plan{Version: version, Balanced: f.opts.Table.Balanced(), Route: explainRoute(rt)}
	now := f.opts.Clock.Now()
	req := &opaque.Request{Host: args.Host, Path: target.Path, Target: args.Path, Method: args.Method, Customer: args.Customer}
	q := scatter.Query{Request: req, Route: rt, Learned: f.learnedCopy(rt), Arrived: now, Deadline: deadline(now, req, rt), Version: version, Class: fairness.NewPlan(table.Config()).Class(rt, customer)}
	f.explainRefusals(p, &q, table, customer)
	if customer != nil {
		p.Allowance = o.Allowance(customer, q.Deadline.Sub(now))
	}
	f.explainPaths(p, q, o)
	return p, nil
}

// namedCustomer returns the customer with a name, or nil if the name is empty.
func namedCustomer(table *route.Table, name string) (*route.Customer, error) {
	switch {
	case name == "":
		return nil, nil
	case !table.Config().Keyed:
		return nil, errNoCustomersYet
	}
	if c := table.CustomerNamed(name); c != nil {
		return c, nil
	}
	return nil, errNoCustomer
}

func explainRoute(rt *route.Route) routeplan.Route {
	out := routeplan.Route{
		Name: rt.Name, Host: rt.Host, Prefix: rt.Prefix, Idempotent: rt.Idempotent, Public: rt.Public, Timeout: rt.Timeout, Objective: rt.Objective,
		Attempts: rt.Attempts, Priority: rt.Priority, Shards: len(rt.Shards),
	}
	if out.Shards > 0 {
		out.Least = rt.LeastShards()
	}
	return out
}

// learnedCopy returns a copy of a route's measurements, empty ones if there are none yet.
func (f *Forwarder) learnedCopy(rt *route.Route) *routestats.Route {
	if r, ok := f.routes.Load(rt.Host + rt.Prefix); ok {
		return r.(*routestats.Route).Copy()
	}
	return &routestats.Route{}
}

// explainRefusals makes the checks that precede the choice of replicas, except that of the allowance, and adds a line
// for each that refuses the request.
func (f *Forwarder) explainRefusals(p *routeplan.Plan, q *scatter.Query, table *route.Table, customer *route.Customer) {
	if table.Config().Keyed && customer == nil && !q.Route.Public {
		p.Refusals = append(p.Refusals, "401: the route needs a customer's key, and no customer is named")
	}
	var ok bool
	if q.Homes, ok = homes.Common(q.Route, customer); !ok {
		p.Refusals = append(p.Refusals, "503: "+msgNoCommonHome)
	}
	p.Route.Homes = q.Homes
	q.Fingerprint = quarantine.Fingerprint(q.Request.Host, []byte(q.Request.Method), []byte(q.Request.Target), nil)
	verdict := f.opts.Quarantine.Check(q.Fingerprint)
	q.Suspect = verdict.Suspect
	if verdict.Refused {
		p.Refusals = append(p.Refusals, fmt.Sprintf("503: %s, for %v", msgQuarantined, verdict.RetryAfter.Round(time.Millisecond)))
	}
	if !f.opts.CanFinish(expected(q)) {
		p.Refusals = append(p.Refusals, "503: "+msgStopping)
	}
}

// explainPaths explains the query over all shards, or over each service of the split.
func (f *Forwarder) explainPaths(p *routeplan.Plan, q scatter.Query, o ExplainOptions) {
	if shards := q.Route.Shards; len(shards) > 0 {
		for _, name := range shards {
			q.Shards = append(q.Shards, f.opts.Table.Copy(name, o.Copy))
		}
		p.Paths = []routeplan.Path{f.opts.Runner.Explain(q, o.Scatter)}
		return
	}
	sum := 0.0
	for _, s := range q.Route.Split {
		sum += s.Weight
	}
	for _, s := range q.Route.Split {
		q.Shards = []*endpoints.Service{f.opts.Table.Copy(s.Service, o.Copy)}
		path := f.opts.Runner.Explain(q, o.Scatter)
		if sum > 0 {
			path.Weight = s.Weight / sum
		}
		p.Paths = append(p.Paths, path)
	}
}
