package host

import (
	"context"
	"time"

	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/warmup"
)

// warm waits until this host could answer a query of each service; see package warmup.
func (h *Host) warm(ctx context.Context) {
	// The other hosts hand out one that is full to few callers.
	h.joined.list.SetLoad(1)
	began := h.opts.Clock.Now()
	reason := warmup.New(warmup.Options{Clock: h.opts.Clock, Known: h.knowsIndexes}).Wait(ctx)
	events.Warm.Log(h.opts.Log, "reason", reason, "services", len(h.all()), "waited_ms", h.opts.Clock.Now().Sub(began)/time.Millisecond)
}

// knowsIndexes reports whether an index version of every service is known, and at least one service.
func (h *Host) knowsIndexes() bool {
	services := h.all()
	for _, s := range services {
		if _, versions := s.Status(); len(versions) == 0 {
			return false
		}
	}
	return len(services) > 0
}
