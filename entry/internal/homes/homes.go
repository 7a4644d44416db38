package homes

import (
	"slices"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/member"
)

// Allow reports whether a request may run in a region; one without homes may run anywhere.
//
// Homes are where the data of a request has to stay. No load and no failure is a reason to leave them: where they have
// nothing left that serves, the request is refused.
func Allow(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Of returns the regions in which every one of some routes that has homes has one, and false where none has any.
func Of(routes []*route.Route) ([]string, bool) {
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

// Common returns the regions in which alone a request may run of a route and a customer, either of which may have homes;
// it reports false where both have some and none in common. The customer may be nil.
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

// Nearest returns the hosts of some to which a client in a region is sent: those in its own region, which may see what
// it sends wherever the homes are; where there are none, those in the homes, and any only where the name has no homes.
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
