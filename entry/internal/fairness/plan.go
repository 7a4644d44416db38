package fairness

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"guavaspring.org/core/route"
)

const (
	// patientRatio is the ratio of a route's objective to the shortest one of its group from which the route is patient.
	// A replica's queue of two requests for each slot takes about a third of the objective of the requests in it, as their
	// work takes a tenth: a request with a shorter objective would always be late behind them.
	patientRatio = 3
	// defaultObjective is the latency objective of routes without one.
	defaultObjective = time.Second
)

// Plan holds the classes of a configuration.
type Plan struct {
	shared bool
	// classes holds the class of each route without a customer, by host name and prefix.
	classes map[string]Class
}

// NewPlan returns the classes of a configuration.
//
// Routes that share services, directly or through other routes, form a group. A group is left out unless customers are
// named or one of its routes is patient: the common bound of package overload serves all of its routes then.
func NewPlan(cfg *route.Config) *Plan {
	p := &Plan{shared: len(cfg.Customers) > 0, classes: make(map[string]Class, len(cfg.Routes))}
	members := map[string][]*route.Route{}
	groups := groupServices(cfg.Routes)
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if services := r.Services(); len(services) > 0 {
			name := find(groups, services[0])
			members[name] = append(members[name], r)
		}
	}
	for _, routes := range members {
		p.addGroup(routes)
	}
	return p
}

func (p *Plan) addGroup(routes []*route.Route) {
	least, longest, highest := objective(routes[0]), objective(routes[0]), routes[0].Priority
	for _, r := range routes {
		highest = min(highest, r.Priority)
		least, longest = min(least, objective(r)), max(longest, objective(r))
	}
	if !p.shared && !patient(longest, least) {
		return
	}
	for _, r := range routes {
		p.classes[key(r)] = Class{
			Pool: pool(r), Route: cmp.Or(r.Name, key(r)), Priority: r.Priority, Shared: p.shared,
			Lower:   !p.shared && r.Priority > highest,
			Patient: patient(objective(r), least),
		}
	}
}

// patient reports whether a route with an objective is patient in a group with the given shortest one.
func patient(objective, least time.Duration) bool {
	return float64(objective) >= patientRatio*float64(least)
}

// Class returns the class of the requests of a customer, nil if there is none, to a route. A nil plan has no classes.
func (p *Plan) Class(r *route.Route, customer *route.Customer) Class {
	if p == nil {
		return Class{}
	}
	c := p.classes[key(r)]
	if customer == nil || !c.Active() {
		return c
	}
	c.Customer = customer.Name
	if customer.Priority != nil {
		c.Priority = *customer.Priority
	}
	return c
}

func key(r *route.Route) string { return r.Host + r.Prefix }

func objective(r *route.Route) time.Duration {
	if r.Objective <= 0 {
		return defaultObjective
	}
	return r.Objective
}

// pool names the services of a route.
func pool(r *route.Route) string {
	names := slices.Sorted(slices.Values(r.Services()))
	h := fnv.New64a()
	for _, name := range names {
		_, _ = h.Write(append([]byte(name), 0))
	}
	return names[0] + "+" + strconv.FormatUint(h.Sum64(), 36)
}

// groupServices returns a forest over the services in which services that a route uses together have the same root.
func groupServices(routes []route.Route) map[string]string {
	parent := map[string]string{}
	for i := range routes {
		services := routes[i].Services()
		for _, s := range services {
			if _, ok := parent[s]; !ok {
				parent[s] = s
			}
			if a, b := find(parent, services[0]), find(parent, s); a != b {
				parent[max(a, b)] = min(a, b)
			}
		}
	}
	return parent
}

// find returns the root of a service.
func find(parent map[string]string, s string) string {
	for parent[s] != s {
		s = parent[s]
	}
	return s
}
