package host

import (
	"context"
	"fmt"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/entry/internal/admission"
	"guavaspring.org/entry/internal/callers"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/metrics"
	"guavaspring.org/entry/internal/service"
	"guavaspring.org/entry/internal/steer"
	"guavaspring.org/entry/internal/ticket"
)

// loadInterval is the time between two updates of this host's load in the member list.
const loadInterval = time.Second

// addresses returns the hosts that a caller should use for a service, with write tickets if it asks for them.
func (h *Host) addresses(req callers.AddressRequest) (caller.Addresses, error) {
	s := h.service(req.Service)
	if s == nil {
		return caller.Addresses{}, fmt.Errorf("no service %q is configured here", req.Service)
	}
	gen := s.Generation()
	doc := gen.Document
	picked := h.steerer.Pick(h.Hosts(), h.Self(), steer.Request{
		Service: req.Service, Caller: req.Caller, Zone: req.Zone,
		Count: doc.Addresses.Count, Hosts: doc.Upstream.EntryHosts, Keep: doc.Addresses.Keep.Std(),
	})
	ans := caller.Addresses{Service: req.Service, Generation: gen.Number, KeepMS: picked.Keep.Milliseconds()}
	var ids []string
	for _, c := range picked.Choices {
		addr := caller.Address{Address: c.Host.Caller, Zone: c.Host.Zone, Weight: c.Weight}
		if doc.Writes.Enabled {
			addr.Tickets = h.newTickets(c.Host.ID, req.Service, req.Tickets, doc.Writes.TicketLife.Std())
		}
		ans.Addresses = append(ans.Addresses, addr)
		ids = append(ids, c.Host.Caller.String())
	}
	events.Steered.Log(h.opts.Log, "service", req.Service, "caller", req.Caller, "zone", req.Zone, "hosts", ids, "keep_ms", ans.KeepMS, "tickets", req.Tickets)
	return ans, nil
}

// newTickets returns n new write tickets for one incarnation of a host.
func (h *Host) newTickets(incarnation, service string, n int, life time.Duration) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = ticket.Mint(incarnation, service, h.opts.Clock.Now(), life)
	}
	return list
}

// needsRefresh reports whether callers of a service at this host should request new addresses.
func (h *Host) needsRefresh(service string) bool {
	s := h.service(service)
	if s == nil {
		return false
	}
	return !h.steerer.Serves(h.Hosts(), h.Self(), service, s.Generation().Document.Upstream.EntryHosts)
}

// updateLoad keeps this host's load in the member list up to date until ctx ends.
func (h *Host) updateLoad(ctx context.Context) {
	for {
		select {
		case <-h.opts.Clock.After(loadInterval):
			load := 0.0
			for _, s := range h.allServices() {
				load = max(load, s.Admission().Load())
			}
			h.membership.list.SetLoad(load)
		case <-ctx.Done():
			return
		}
	}
}

// allServices returns a copy of the services by name.
func (h *Host) allServices() map[string]*service.Service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	services := make(map[string]*service.Service, len(h.services))
	for name, s := range h.services {
		services[name] = s
	}
	return services
}

// newMetrics returns the metrics of this host.
func (h *Host) newMetrics() *metrics.Metrics {
	return metrics.New(metrics.Options{
		Running: h.drain.Running,
		Gates: func() map[string]admission.Stats {
			stats := map[string]admission.Stats{}
			for name, s := range h.allServices() {
				stats[name] = s.Admission().Stats()
			}
			return stats
		},
		Hosts: func() map[string]int {
			counts := map[string]int{}
			for _, other := range h.Hosts() {
				counts[string(other.State)]++
			}
			return counts
		},
	})
}
