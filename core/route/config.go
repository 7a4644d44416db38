package route

import (
	"time"
)

// Config is one version of the whole configuration; it is never changed once it is in force.
type Config struct {
	// Version grows with every change, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keyed says that requests need a customer's key, except on public routes.
	Keyed     bool
	Customers []Customer
	// Unreadable counts the customers that could not be read; nobody has their keys.
	Unreadable int
}

// OlderThan reports whether c is an earlier version than other.
func (c Config) OlderThan(other Config) bool { return c.Version < other.Version }

// Route says where the requests of a host name and path prefix go.
type Route struct {
	Name string
	// Host is the name that the request is addressed to, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once; all others run at most once for each client attempt.
	Idempotent bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full use.
	Objective time.Duration
	// Priority ranks the route among others, 0 being the most urgent.
	Priority int
	// Attempts is the most replicas, of each shard, that one request may be sent to.
	Attempts int
	// Split holds the services among which requests are distributed; it has one entry for a plain route and none for a
	// query over shards.
	Split []Share
	// Shards holds the services that each hold one shard of the index; it is empty unless the route is a query over all
	// of them.
	Shards []string
	// Homes are the regions in which alone requests may run; none means any.
	Homes []string
	// Public requests need no key.
	Public bool
	// TopK is how many of the greatest records an answer holds.
	TopK int
	// LeastShare is the share of the shards, 0 to 1, below which an answer is no success.
	LeastShare float64
}

// Share is one service of a split and its part of the requests.
type Share struct {
	Service string
	// Weight is relative to the sum over the split.
	Weight float64
}

// Service holds what is configured of the replicas of one service.
type Service struct {
	// MaxConns is the most connections that a replica accepts from all hosts together.
	MaxConns int
	// ColdFor is how long a replica is cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is how many requests a second a cold replica bears from all hosts together; zero where it bears as
	// many as a warm one.
	ColdPerSecond float64
}

// Limits bounds what a client may send; zero values mean no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// LeastShards returns how many shards an answer needs to be a success.
func (r *Route) LeastShards() int {
	n := len(r.Shards)
	for need := range n {
		if float64(need) >= r.LeastShare*float64(n)-1e-9 {
			return max(need, 1)
		}
	}
	return n
}

// Services returns every service that requests of the route may be sent to.
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
