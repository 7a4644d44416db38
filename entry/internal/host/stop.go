package host

import (
	"context"
	"errors"
	"time"

	"guavaspring.org/entry/internal/drainer"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
)

const (
	// leavePropagation is the time until all other hosts have received that this one is leaving; docs/operating/stop.md
	// describes what an operator sees in the meantime.
	leavePropagation = 2 * time.Second
	// maxGrace bounds the wait for callers to leave, as they may keep addresses for up to an hour.
	maxGrace = 15 * time.Second
	// stopTimeout is the longest deadline that a document allows, plus a second for the response.
	stopTimeout = time.Minute + time.Second
)

// newDrainer returns the drainer that takes this host out of service.
func (h *Host) newDrainer() *drainer.Drainer {
	return drainer.New(drainer.Options{Clock: h.opts.Clock, Announce: h.announceLeaving, Grace: h.grace, Alone: h.noOtherAlive})
}

// announceLeaving tells the other hosts that this one is leaving.
func (h *Host) announceLeaving(ctx context.Context) {
	events.Stopping.Log(h.opts.Log, "in_flight", h.drain.Running(), "grace", h.grace().String())
	h.membership.leave(ctx)
}

// grace returns how long callers that have just received this host's address may keep it, at most maxGrace.
func (h *Host) grace() time.Duration {
	var keep time.Duration
	for _, gen := range h.store.All() {
		keep = max(keep, gen.Document.Addresses.Keep.Std())
	}
	return min(keep+leavePropagation, maxGrace)
}

// noOtherAlive reports whether no other host is alive, so that callers have no other to move to.
func (h *Host) noOtherAlive() bool {
	self := h.Self()
	for _, other := range h.Hosts() {
		if other.ID != self.ID && other.State == member.StateAlive {
			return false
		}
	}
	return true
}

// ready returns an error that says why this host can't serve, or nil.
func (h *Host) ready() error {
	switch {
	case h.drain.Leaving():
		return errors.New("the host is leaving; it serves those that still come")
	case len(h.store.All()) == 0:
		return errors.New("no accepted document is known yet")
	}
	return nil
}
