package route

import (
	"net"
	"slices"
	"strings"

	"guavaspring.org/core/apikey"
)

// Table finds the route and the customer of a request in one version of the configuration.
type Table struct {
	config Config
	hosts  map[string][]*Route
	keys   map[apikey.Key]*Customer
	names  map[string]*Customer
	// limited reports that a customer has a limit.
	limited bool
}

// NewTable returns the table of cfg, which must not be modified afterwards. Numbers of routes that are out of range are
// replaced by the nearest ones in range: they come from other programs.
func NewTable(cfg Config) *Table {
	cfg.Routes = slices.Clone(cfg.Routes)
	for i := range cfg.Routes {
		cfg.Routes[i].clamp()
	}
	t := &Table{config: cfg, hosts: map[string][]*Route{}, keys: map[apikey.Key]*Customer{}, names: map[string]*Customer{}}
	for i := range cfg.Customers {
		t.addCustomer(&cfg.Customers[i])
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

// addCustomer indexes a customer by its name and keys; if two customers share a name or key, the first one keeps it.
func (t *Table) addCustomer(c *Customer) {
	t.limited = t.limited || c.Limited()
	if t.names[c.Name] == nil {
		t.names[c.Name] = c
	}
	for _, key := range c.Keys {
		if t.keys[key] == nil && !key.IsZero() {
			t.keys[key] = c
		}
	}
}

// Customer returns the customer with the given key, or nil.
func (t *Table) Customer(key apikey.Key) *Customer { return t.keys[key] }

// LimitsCustomers reports whether any customer has a limit.
func (t *Table) LimitsCustomers() bool { return t.limited }

// CustomerNamed returns the customer with the given name, or nil.
func (t *Table) CustomerNamed(name string) *Customer { return t.names[name] }

// Config returns the configuration of the table.
func (t *Table) Config() *Config { return &t.config }

// Routes returns the routes of a host name, longest prefix first; the slice must not be modified.
func (t *Table) Routes(host string) []*Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return t.hosts[strings.ToLower(host)]
}

// Find returns the route of the host name with the longest prefix of path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.Routes(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
