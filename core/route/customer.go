package route

import "guavaspring.org/core/apikey"

// Customer is the configuration of one customer, whose requests are identified by keys.
type Customer struct {
	Name string
	// Keys are the digests of the keys that identify its requests.
	Keys []apikey.Key
	// Priority overrides the priority of the route, 0 is the highest; nil means no override.
	Priority *int
	// PerSecond and Burst limit the requests on all hosts together, as a token bucket; zero PerSecond means no limit.
	PerSecond, Burst float64
	// Homes are the only regions in which its requests may run, in addition to the restriction of the route; empty means
	// any region.
	Homes []string
}

// Limited reports whether the customer has a rate limit.
func (c *Customer) Limited() bool { return c != nil && c.PerSecond > 0 }
