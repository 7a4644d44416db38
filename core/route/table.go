package route

import (
	"net"
	"slices"
	"strings"

	"guavaspring.org/core/apikey"
)

// Table finds the route of a request in one version of the configuration.
type Table struct {
	config Config
	hosts  map[string][]*Route
	keys   map[apikey.Key]*Customer
	names  map[string]*Customer
}

// NewTable returns the table of cfg, which must not be changed any more.
func NewTable(cfg Config) *Table {
	t := &Table{config: cfg, hosts: map[string][]*Route{}, keys: map[apikey.Key]*Customer{}, names: map[string]*Customer{}}
	for i := range cfg.Customers {
		t.add(&cfg.Customers[i])
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		name := strings.ToLower(r.Host)
		t.hosts[name] = append(t.hosts[name], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// add lets a customer be found; of two that have a key or a name, it stays with the first.
func (t *Table) add(c *Customer) {
	if t.names[c.Name] == nil {
		t.names[c.Name] = c
	}
	for _, key := range c.Keys {
		if t.keys[key] == nil && !key.IsZero() {
			t.keys[key] = c
		}
	}
}

// Customer returns the customer that has a key, or nil.
func (t *Table) Customer(key apikey.Key) *Customer { return t.keys[key] }

// CustomerNamed returns the customer with a name, or nil.
func (t *Table) CustomerNamed(name string) *Customer { return t.names[name] }

// Config returns the configuration that the table was made of.
func (t *Table) Config() *Config { return &t.config }

// Of returns the routes of a host name, those with the longest prefixes first; the slice must not be changed.
func (t *Table) Of(host string) []*Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return t.hosts[strings.ToLower(host)]
}

// Find returns the route of the host name whose prefix is the longest that begins path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.Of(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
