package route

import "guavaspring.org/core/apikey"

// Customer is one of those whose requests need a key.
type Customer struct {
	Name string
	// Keys are the digests of the keys by which its requests are known.
	Keys []apikey.Key
	// Priority goes before that of the route, 0 being the most urgent; nil means that the route's counts.
	Priority *int
	// PerSecond and Burst are how many requests may run on all hosts together; zero PerSecond means no limit.
	PerSecond, Burst float64
	// Homes are the regions in which alone its requests may run, besides those of the route; none means any.
	Homes []string
}

// Limited reports whether the number of the customer's requests is limited.
func (c *Customer) Limited() bool { return c != nil && c.PerSecond > 0 }
