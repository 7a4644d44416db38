package host

import (
	"context"
	"time"

	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/warmup"
)

// warmUp waits until this host can answer queries of each service, or the wait of package warmup ends.
func (h *Host) warmUp(ctx context.Context) {
	// The other hosts direct few callers to a host at full load.
	h.membership.list.SetLoad(1)
	began := h.opts.Clock.Now()
	reason := warmup.New(warmup.Options{Clock: h.opts.Clock, Known: h.hasIndexes}).Wait(ctx)
	events.Warm.Log(h.opts.Log, "reason", reason, "services", len(h.allServices()), "waited_ms", h.opts.Clock.Now().Sub(began)/time.Millisecond)
}

// hasIndexes reports whether this host has the replica list, and an index version of each service with replicas.
func (h *Host) hasIndexes() bool {
	list, read := h.listing.List()
	listed := map[string]int{}
	for _, r := range list {
		listed[r.Service]++
	}
	var services []warmup.Service
	for name, s := range h.allServices() {
		_, versions := s.Status()
		services = append(services, warmup.Service{Listed: listed[name], Versions: len(versions)})
	}
	return warmup.Ready(read, services)
}
