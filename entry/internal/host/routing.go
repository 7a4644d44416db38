package host

import "guavaspring.org/entry/internal/service"

// serviceOptions returns the options that all services of this host share.
func (h *Host) serviceOptions() service.Options {
	return service.Options{
		Clock: h.opts.Clock, Log: h.opts.Log, Explain: h.explain, NewID: h.explanationID,
		Metrics: h.routing, Zone: h.opts.Zone, Draining: h.noteDraining, Publish: h.tellQuarantine,
	}
}
