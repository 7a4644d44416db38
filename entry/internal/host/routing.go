package host

import "guavaspring.org/entry/internal/service"

// serviceOptions returns the options that all services of this host share.
func (h *Host) serviceOptions() service.Options {
	return service.Options{
		Clock: h.opts.Clock, Log: h.opts.Log, Explain: h.explain, NewID: h.explanationID,
		Metrics: h.serviceMetrics, Zone: h.opts.Zone, Draining: h.queueDraining, Publish: h.publishQuarantine,
	}
}
