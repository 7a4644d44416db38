package allowance

import (
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// partFor is how long the share of a host that asked for tokens belongs to the host that it asked. Both apply it: the
	// former doesn't use its share elsewhere meanwhile, the latter doesn't use it for longer.
	partFor = 500 * time.Millisecond
	// regularGap and regularCalls define a host with steady traffic: the mean interval between its requests for tokens is
	// below regularGap, and it has sent at least regularCalls of them.
	regularGap, regularCalls = partFor / 2, 4
	// silentGaps is the number of mean intervals without a request after which such a host counts as gone.
	silentGaps = 3
	// forgetPartner is how long the request history of a host is kept after its last request.
	forgetPartner = 10 * time.Second
)

// partners are the hosts that asked this one for a customer's tokens, and so gave it their shares, by ID.
type partners map[string]*partner

// partner is the request history of one host.
type partner struct {
	// from is when its share becomes usable here, and last is the time of its last request.
	from, last time.Time
	// gap is the moving average of the interval between its requests, and calls is their number.
	gap   time.Duration
	calls int
}

// ask records a request of a host whose share becomes usable after the duration free.
func (p partners) ask(now time.Time, id string, free time.Duration) {
	h := p[id]
	if h == nil || now.Sub(h.last) > forgetPartner {
		h = &partner{last: now, from: now.Add(free)}
		p[id] = h
	}
	if now.Sub(h.last) > partFor {
		h.calls, h.gap = 0, 0
		h.from = now.Add(free)
	}
	h.calls++
	h.gap += (now.Sub(h.last) - h.gap) / time.Duration(min(h.calls, 2*regularCalls))
	h.last = now
}

// brought returns the number of shares that are usable here, and drops expired histories.
func (p partners) brought(now time.Time) int {
	n := 0
	for id, h := range p {
		switch {
		case now.Sub(h.last) > forgetPartner:
			delete(p, id)
		case h.here(now):
			n++
		}
	}
	return n
}

// idle returns the number of serving hosts that have no requests for the customer, so that their shares are unused. A host
// with steady traffic that went silent is not idle: it may be partitioned and use its share for its own requests.
func (p partners) idle(now time.Time, serving []member.Host) int {
	n := 0
	for i := range serving {
		h := p[serving[i].ID]
		if h == nil || !h.here(now) && !h.gone(now) && now.Sub(h.last) > partFor {
			n++
		}
	}
	return n
}

// here reports whether the share of the host is usable here.
func (h *partner) here(now time.Time) bool {
	return !now.Before(h.from) && now.Sub(h.last) <= partFor
}

// gone reports whether the host had steady traffic and went silent.
func (h *partner) gone(now time.Time) bool {
	return h.calls >= regularCalls && h.gap < regularGap && now.Sub(h.last) > silentGaps*h.gap
}
