package homes

import (
	"slices"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/member"
)

// Allow reports whether a request with the given home regions may run in a region. A request without homes may run
// anywhere.
//
// Homes are the regions that the data of a request must stay in. This rule holds under overload and failure too: where
// no serving host is left in the homes, the request is refused.
func Allow(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// CommonToRoutes returns the home regions that are common to all of the routes that have any, and false where no route
// has homes.
func CommonToRoutes(routes []*route.Route) ([]string, bool) {
	var common []string
	found := false
	for _, r := range routes {
		if len(r.Homes) == 0 {
			continue
		}
		if !found {
			common, found = slices.Clone(r.Homes), true
			continue
		}
		common = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(r.Homes, region) })
	}
	return common, found
}

// Common returns the only regions in which a request may run, given the homes of its route and its customer. It returns
// false where both have homes but none in common. A route or customer without homes adds no restriction, and the
// customer may be nil.
func Common(r *route.Route, c *route.Customer) ([]string, bool) {
	switch {
	case c == nil || len(c.Homes) == 0:
		return r.Homes, true
	case len(r.Homes) == 0:
		return c.Homes, true
	}
	var both []string
	for _, region := range r.Homes {
		if slices.Contains(c.Homes, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

// Nearest returns the hosts that a client in a region is directed to: those in its own region, which may process its
// requests whatever the homes; if there are none, those in the homes; and if bound is false, that is without homes, all
// hosts.
func Nearest(hosts []member.Host, region string, homes []string, bound bool) []member.Host {
	in := func(regions ...string) []member.Host {
		var list []member.Host
		for _, h := range hosts {
			if slices.Contains(regions, h.Region) {
				list = append(list, h)
			}
		}
		return list
	}
	if list := in(region); len(list) > 0 {
		return list
	}
	if bound {
		return in(homes...)
	}
	return hosts
}
