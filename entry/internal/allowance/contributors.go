package allowance

import (
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// shareHoldTime is how long the share of a host that asked for tokens belongs to the host that it asked. Both apply
	// it: the former doesn't use its share elsewhere meanwhile, the latter doesn't use it for longer.
	shareHoldTime = 500 * time.Millisecond
	// steadyInterval and steadyRequests define a host with steady traffic: the mean interval between its requests for
	// tokens is below steadyInterval, and it has sent at least steadyRequests of them.
	steadyInterval, steadyRequests = shareHoldTime / 2, 4
	// silentIntervals is the number of mean intervals without a request after which such a host counts as gone.
	silentIntervals = 3
	// historyTTL is how long the request history of a host is kept after its last request.
	historyTTL = 10 * time.Second
)

// contributors are the hosts that asked this one for a customer's tokens, and so gave it their shares, by ID.
type contributors map[string]*contributor

// contributor is the request history of one host.
type contributor struct {
	// usableFrom is when its share becomes usable here, and lastRequest is the time of its last request.
	usableFrom, lastRequest time.Time
	// meanInterval is the moving average of the interval between its requests, and requests is their number.
	meanInterval time.Duration
	requests     int
}

// recordRequest records a request of a host whose share becomes usable after the duration free.
func (p contributors) recordRequest(now time.Time, id string, free time.Duration) {
	h := p[id]
	if h == nil || now.Sub(h.lastRequest) > historyTTL {
		h = &contributor{lastRequest: now, usableFrom: now.Add(free)}
		p[id] = h
	}
	if now.Sub(h.lastRequest) > shareHoldTime {
		h.requests, h.meanInterval = 0, 0
		h.usableFrom = now.Add(free)
	}
	h.requests++
	h.meanInterval += (now.Sub(h.lastRequest) - h.meanInterval) / time.Duration(min(h.requests, 2*steadyRequests))
	h.lastRequest = now
}

// usable returns the number of shares that are usable here, and drops expired histories.
func (p contributors) usable(now time.Time) int {
	n := 0
	for id, h := range p {
		switch {
		case now.Sub(h.lastRequest) > historyTTL:
			delete(p, id)
		case h.isUsable(now):
			n++
		}
	}
	return n
}

// idle returns the number of serving hosts that have no requests for the customer, so that their shares are unused. A
// host with steady traffic that went silent is not idle: it may be partitioned and use its share for its own requests.
func (p contributors) idle(now time.Time, serving []member.Host) int {
	n := 0
	for i := range serving {
		h := p[serving[i].ID]
		if h == nil || !h.isUsable(now) && !h.wentSilent(now) && now.Sub(h.lastRequest) > shareHoldTime {
			n++
		}
	}
	return n
}

// isUsable reports whether the share of the host is usable here.
func (h *contributor) isUsable(now time.Time) bool {
	return !now.Before(h.usableFrom) && now.Sub(h.lastRequest) <= shareHoldTime
}

// wentSilent reports whether the host had steady traffic and went silent.
func (h *contributor) wentSilent(now time.Time) bool {
	return h.requests >= steadyRequests && h.meanInterval < steadyInterval &&
		now.Sub(h.lastRequest) > silentIntervals*h.meanInterval
}
