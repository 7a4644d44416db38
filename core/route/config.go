package route

import (
	"slices"
	"time"
)

// Config is one version of the whole configuration; it is immutable once it is in effect.
type Config struct {
	// Version increases with every change, in steps of any size.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keyed is whether requests need the key of a customer, except on public routes.
	Keyed     bool
	Customers []Customer
	// Unreadable is the number of customers that could not be decoded; their keys match no customer.
	Unreadable int
}

// OlderThan reports whether c is an earlier version than other.
func (c Config) OlderThan(other Config) bool { return c.Version < other.Version }

// Ranked reports whether the configuration ranks requests: its routes or customers have different priorities.
func (c Config) Ranked() bool {
	for i := range c.Routes {
		if c.Routes[i].Priority != c.Routes[0].Priority {
			return true
		}
	}
	for i := range c.Customers {
		if p := c.Customers[i].Priority; p != nil && (len(c.Routes) == 0 || *p != c.Routes[0].Priority) {
			return true
		}
	}
	return false
}

// Route maps the requests of a host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name of the request, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is whether requests may run more than once; otherwise they run at most once per client attempt.
	Idempotent bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Objective is the latency objective; a later answer is of less use to the client.
	Objective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Attempts is the maximum number of replicas of each shard to which a request may be sent.
	Attempts int
	// Split lists the services among which requests are distributed. It has one entry for a plain route and is empty for
	// a query over shards.
	Split []Share
	// Shards lists the services that each hold one shard of the index; it is empty unless the route is a query over all
	// shards.
	Shards []string
	// Homes are the only regions in which requests may run; empty means any region.
	Homes []string
	// Public is whether requests need no key.
	Public bool
	// TopK is the number of highest-ranked records in an answer.
	TopK int
	// LeastShare is the minimum share of the shards, 0 to 1, for a successful answer.
	LeastShare float64
}

// Share is a service of a split and its share of the requests.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the split.
	Weight float64
}

// Service configures the replicas of one service.
type Service struct {
	// MaxConns is the maximum number of connections that a replica accepts from all hosts together.
	MaxConns int
	// ColdFor is the warmup time of a replica after its start.
	ColdFor time.Duration
	// ColdPerSecond is the maximum number of requests per second to a cold replica from all hosts together; zero means
	// as many as to a warm one.
	ColdPerSecond float64
}

// Limits holds the limits of client requests; zero values mean no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

const (
	// maxAttempts is above the number of attempts of any route. Memory for the results of all attempts is allocated for each
	// request.
	maxAttempts = 64
	// maxTopK is above the number of records that a reply of maximum size holds.
	maxTopK = 1 << 20
	// maxWeight keeps sums of weights finite.
	maxWeight = 1e12
)

// clamp replaces numbers that are out of range by the nearest ones in range.
func (r *Route) clamp() {
	r.Attempts = min(max(r.Attempts, 1), maxAttempts)
	r.TopK = min(max(r.TopK, 0), maxTopK)
	r.LeastShare = within(r.LeastShare, 1)
	r.Split = slices.Clone(r.Split)
	for i := range r.Split {
		r.Split[i].Weight = within(r.Split[i].Weight, maxWeight)
	}
}

// within returns x, or the nearest number from 0 to upper; zero if x is not a number.
func within(x, upper float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, upper)
}

// LeastShards returns the minimum number of shards for a successful answer.
func (r *Route) LeastShards() int {
	n := len(r.Shards)
	for need := range n {
		if float64(need) >= r.LeastShare*float64(n)-1e-9 {
			return max(need, 1)
		}
	}
	return n
}

// Services returns all services to which requests of the route may be sent.
func (r *Route) Services() []string {
	if len(r.Shards) > 0 {
		return r.Shards
	}
	names := make([]string, len(r.Split))
	for i, s := range r.Split {
		names[i] = s.Service
	}
	return names
}
