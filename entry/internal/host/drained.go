package host

import (
	"context"
	"time"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/rumor"
)

const (
	// drainLife is how long a draining mark lives: longer than the replica list of the platform lags.
	drainLife = time.Minute
	// drainedQueue bounds the marks that wait to be told; a whole service may leave at once.
	drainedQueue = 1024
)

// drained is a replica that this host found leaving.
type drained struct{ service, replica string }

// noteDraining is called while the service's table is locked, so it only queues.
func (h *Host) noteDraining(service string, r *replica.Replica, _ string) {
	h.joined.drained.Push(drained{service: service, replica: r.ID})
}

// tellDraining tells the other hosts of replicas found leaving until ctx ends.
//
// Hosts that find the same replica leaving publish the same rumor, down to its expiry, so that it is news once.
func (h *Host) tellDraining(ctx context.Context) {
	for {
		select {
		case <-h.joined.drained.Ready():
		case <-ctx.Done():
			return
		}
		for d, ok := h.joined.drained.Pop(); ok; d, ok = h.joined.drained.Pop() {
			if _, known := h.joined.rumors.Get(rumor.KindDraining, d.service, d.replica); known {
				continue
			}
			expires := h.opts.Clock.Now().Truncate(drainLife).Add(2 * drainLife)
			// A replica whose ID is too long for a rumor is still found leaving by each host itself.
			_ = h.Publish(rumor.Rumor{Kind: rumor.KindDraining, Service: d.service, Key: d.replica, Number: 1, Expires: expires})
		}
	}
}

// hearDraining marks a replica that another host found leaving.
func (h *Host) hearDraining(r rumor.Rumor) {
	if s := h.service(r.Service); s != nil {
		s.MarkDraining(r.Key)
	}
}

// replicasRead takes over the platform's list, and marks again what it may lag behind.
func (h *Host) replicasRead(ctx context.Context, list []platform.Replica) {
	h.replicas(ctx, list)
	for _, r := range h.joined.rumors.List(rumor.KindDraining) {
		h.hearDraining(r)
	}
}
