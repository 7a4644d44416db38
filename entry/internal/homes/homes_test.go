package homes_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/member"
)

// Guards against clients that are directed to a host outside their own region and the homes of their requests, also
// where their own region has no hosts left and the homes are far away. Without homes, any host may be returned.
func TestNearest(t *testing.T) {
	hosts := []member.Host{{ID: "e1", Region: "east"}, {ID: "w1", Region: "west"}, {ID: "w2", Region: "west"}, {ID: "n1", Region: "north"}}
	tests := []struct {
		name, region string
		homes        []string
		bound        bool
		want         []string
	}{
		{"the own region", "west", nil, false, []string{"w1", "w2"}},
		{"the own region, which is no home", "east", []string{"west"}, true, []string{"e1"}},
		{"a home, as the own region has no host", "south", []string{"north", "east"}, true, []string{"e1", "n1"}},
		{"no home has a host", "south", []string{"far"}, true, nil},
		{"routes whose homes have nothing in common", "south", nil, true, nil},
		{"anywhere", "south", nil, false, []string{"e1", "w1", "w2", "n1"}},
	}
	for _, test := range tests {
		var got []string
		for _, h := range homes.Nearest(hosts, test.region, test.homes, test.bound) {
			got = append(got, h.ID)
		}
		qt.Check(t, got, qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}

// Guards against clients that are directed to a region that only some of the routes of a host name allow. Two routes
// have homes, a third has none. Clients may use any of them, so that only the regions common to both are left.
func TestCommonHomesOfRoutes(t *testing.T) {
	table := route.NewTable(route.Config{Routes: []route.Route{
		{Host: "a", Homes: []string{"east", "west"}}, {Host: "a", Homes: []string{"west", "north"}}, {Host: "a"}, {Host: "b"},
	}})
	got, bound := homes.CommonToRoutes(table.Routes("a"))
	qt.Assert(t, got, qt.DeepEquals, []string{"west"})
	qt.Assert(t, bound, qt.IsTrue)
	_, bound = homes.CommonToRoutes(table.Routes("b"))
	qt.Assert(t, bound, qt.IsFalse)
	qt.Assert(t, homes.Allow(nil, "east"), qt.IsTrue)
	qt.Assert(t, homes.Allow([]string{"west"}, "east"), qt.IsFalse)
}

// Guards against customer data that leaves the customer's homes because the route has other homes or none.
func TestCommonHomes(t *testing.T) {
	tests := []struct {
		route, customer, want []string
		ok                    bool
	}{
		{nil, nil, nil, true},
		{[]string{"east"}, nil, []string{"east"}, true},
		{nil, []string{"east"}, []string{"east"}, true},
		{[]string{"east", "west"}, []string{"west", "north"}, []string{"west"}, true},
		{[]string{"east"}, []string{"west"}, nil, false},
	}
	for _, test := range tests {
		got, ok := homes.Common(&route.Route{Homes: test.route}, &route.Customer{Homes: test.customer})
		qt.Check(t, got, qt.DeepEquals, test.want)
		qt.Check(t, ok, qt.Equals, test.ok)
	}
	got, ok := homes.Common(&route.Route{Homes: []string{"east"}}, nil)
	qt.Check(t, got, qt.DeepEquals, []string{"east"})
	qt.Check(t, ok, qt.IsTrue)
}
