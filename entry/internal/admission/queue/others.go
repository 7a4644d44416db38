package queue

import "time"

// lately is how long after its last request a caller counts as one that may come back; boards and tablets ask again within a second.
const lately = time.Second

// others remembers the last two callers that differ, and so whether a caller has been alone of late.
type others struct {
	last, before     string
	lastAt, beforeAt time.Time
}

// note takes over that a request of the caller arrived at now.
func (o *others) note(now time.Time, caller string) {
	if caller != o.last {
		o.before, o.beforeAt = o.last, o.lastAt
		o.last = caller
	}
	o.lastAt = now
}

// besides reports whether another caller than this one has sent a request lately.
func (o *others) besides(now time.Time, caller string) bool {
	at := o.lastAt
	if caller == o.last {
		at = o.beforeAt
	}
	return !at.IsZero() && now.Sub(at) < lately
}
