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
	// heardBy is how long the other hosts take to hear that this one is leaving; docs/operating/stop.md says what an
	// operator sees meanwhile.
	heardBy = 2 * time.Second
	// mostGrace bounds the wait for callers that may keep their addresses for up to an hour.
	mostGrace = 15 * time.Second
	// stopTimeout is the longest deadline that a document allows, and a second for the answer.
	stopTimeout = time.Minute + time.Second
)

func (h *Host) newDrainer() *drainer.Drainer {
	return drainer.New(drainer.Options{Clock: h.opts.Clock, Announce: h.announce, Grace: h.grace, Alone: h.alone})
}

func (h *Host) announce(ctx context.Context) {
	events.Stopping.Log(h.opts.Log, "in_flight", h.drain.Running(), "grace", h.grace().String())
	h.joined.leave(ctx)
}

// grace is as long as a caller that was handed this address a moment ago may keep it.
func (h *Host) grace() time.Duration {
	var keep time.Duration
	for _, gen := range h.store.All() {
		keep = max(keep, gen.Document.Addresses.Keep.Std())
	}
	return min(keep+heardBy, mostGrace)
}

// alone reports whether no other host serves, so that callers have nowhere to go.
func (h *Host) alone() bool {
	self := h.Self()
	for _, other := range h.Hosts() {
		if other.ID != self.ID && other.State == member.StateAlive {
			return false
		}
	}
	return true
}

func (h *Host) ready() error {
	switch {
	case h.drain.Leaving():
		return errors.New("the host is leaving; it serves those that still come")
	case len(h.store.All()) == 0:
		return errors.New("no accepted document is known yet")
	}
	return nil
}
