package host

import (
	"context"
	"time"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/rumor"
)

const (
	// drainingRumorLife is the least time that a draining rumor lives, longer than the lag of the platform's replica list.
	drainingRumorLife = time.Minute
	// drainingQueueSize bounds the draining replicas that wait to be published; a whole service may drain at once.
	drainingQueueSize = 1024
)

// drainingReplica identifies a replica that this host found draining.
type drainingReplica struct{ service, replica string }

// queueDraining queues a draining replica. It must not block, as it is called while the service's table is locked.
func (h *Host) queueDraining(service string, r *replica.Replica, _ string) {
	h.membership.draining.Push(drainingReplica{service: service, replica: r.ID})
}

// publishDraining publishes the queued draining replicas to the other hosts until ctx ends.
//
// Hosts that find the same replica draining publish the same rumor with the same expiry, so that it spreads only once.
func (h *Host) publishDraining(ctx context.Context) {
	for {
		select {
		case <-h.membership.draining.Ready():
		case <-ctx.Done():
			return
		}
		for d, ok := h.membership.draining.Pop(); ok; d, ok = h.membership.draining.Pop() {
			if _, known := h.membership.rumors.Get(rumor.KindDraining, d.service, d.replica); known {
				continue
			}
			expires := h.opts.Clock.Now().Truncate(drainingRumorLife).Add(2 * drainingRumorLife)
			// If the replica's ID is too long for a rumor, each host still finds it draining by itself.
			_ = h.Publish(rumor.Rumor{Kind: rumor.KindDraining, Service: d.service, Key: d.replica, Number: 1, Expires: expires})
		}
	}
}

// applyDrainingRumor marks a replica that another host found draining.
func (h *Host) applyDrainingRumor(r rumor.Rumor) {
	if s := h.service(r.Service); s != nil {
		s.MarkDraining(r.Key)
	}
}

// applyReplicaList applies the platform's list and marks the draining replicas again, as the list may lag behind.
func (h *Host) applyReplicaList(ctx context.Context, list []platform.Replica) {
	h.updateReplicas(ctx, list)
	for _, r := range h.membership.rumors.List(rumor.KindDraining) {
		h.applyDrainingRumor(r)
	}
}
