package allowance

import (
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// partFor is how long the part of a host that asked for tokens belongs to the one that was asked. Both go by it: the
	// one does not use its part elsewhere meanwhile, the other not for longer.
	partFor = 500 * time.Millisecond
	// regularGap and regularCalls are within which time, and after how many times, a host asks as it does with requests
	// that come all the time.
	regularGap, regularCalls = partFor / 2, 4
	// silentGaps is how many times its usual gap such a host is silent before it counts as gone.
	silentGaps = 3
	// forgetPartner is how long after its last word it is remembered that a host asked regularly.
	forgetPartner = 10 * time.Second
)

// partners are the hosts that brought their parts of a customer's limit to this one, by id.
type partners map[string]*partner

// partner is one of them.
type partner struct {
	// from is when its part is free to be used here, and last when it asked last.
	from, last time.Time
	// gap is the usual time between what it asks, over calls requests.
	gap   time.Duration
	calls int
}

// ask notes that a host asks, whose part is free in a while.
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

// brought returns how many parts were brought and may be used now.
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

// idle returns how many of the serving hosts have nothing to ask for, so that their parts are unused. One that asked
// all the time and fell silent is not idle: it may be cut off, and use its part for the requests that still come to it.
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

// here reports whether a part may be used here.
func (h *partner) here(now time.Time) bool {
	return !now.Before(h.from) && now.Sub(h.last) <= partFor
}

// gone reports whether the host asked all the time and fell silent.
func (h *partner) gone(now time.Time) bool {
	return h.calls >= regularCalls && h.gap < regularGap && now.Sub(h.last) > silentGaps*h.gap
}
