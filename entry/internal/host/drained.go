package host

import (
	"context"
	"time"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/rumor"
)

const (
	// drainLife is the least time that a draining rumor lives, longer than the replica list of the platform lags behind.
	drainLife = time.Minute
	// drainedQueue bounds the draining replicas that wait to be published; a whole service may drain at once.
	drainedQueue = 1024
)

// drained identifies a replica that this host found draining.
type drained struct{ service, replica string }

// noteDraining queues a draining replica. It must not block, as it is called while the service's table is locked.
func (h *Host) noteDraining(service string, r *replica.Replica, _ string) {
	h.joined.drained.Push(drained{service: service, replica: r.ID})
}

// tellDraining publishes the queued draining replicas to the other hosts until ctx ends.
//
// Hosts that find the same replica draining publish the same rumor with the same expiry, so that it spreads only once.
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
			// If the replica's ID is too long for a rumor, each host still finds it draining by itself.
			_ = h.Publish(rumor.Rumor{Kind: rumor.KindDraining, Service: d.service, Key: d.replica, Number: 1, Expires: expires})
		}
	}
}

// hearDraining marks a replica that another host found draining.
func (h *Host) hearDraining(r rumor.Rumor) {
	if s := h.service(r.Service); s != nil {
		s.MarkDraining(r.Key)
	}
}

// replicasRead applies the platform's list and marks the draining replicas again, as the list may lag behind.
func (h *Host) replicasRead(ctx context.Context, list []platform.Replica) {
	h.replicas(ctx, list)
	for _, r := range h.joined.rumors.List(rumor.KindDraining) {
		h.hearDraining(r)
	}
}
