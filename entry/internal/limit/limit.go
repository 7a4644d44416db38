package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unit is the fixed-point value of one try.
	unit = 1_000
	// keep is the percentage of the limit that is kept when the replica sheds a try.
	keep = 70
	// growth is the amount by which a reply raises a limit of one after the first shed try. It takes fifty replies to
	// add one try, since each try beyond the fair share costs a refusal.
	growth = unit / 50
	// widen, narrow and widest relate the gap between tries to the usual reply time: a refusal adds 1/2 of it to the
	// gap, a reply takes 1/4 off, and the gap is at most twice the reply time. Hosts that compete for the same slots
	// then each get most of their share; with a multiplicative increase one of them would get nearly none.
	widen, narrow, widest = 2, 4, 2
	// unknownReply replaces the usual reply time while it is unknown.
	unknownReply = 2 * time.Millisecond
)

// Limit is an adaptive limit on the concurrent tries of this host at one replica.
//
// It handles a replica whose few slots are shared by more hosts than it has slots. Without it, all hosts resend shed
// tries at once, and the replica spends its time refusing them. The hosts don't coordinate; each adapts to shed tries,
// as in network congestion control: the limit grows when a reply arrives while the limit is reached, by one try per
// reply at first, and shrinks by about a third when a try is shed. It starts at one, so that a replica that has just
// started cold, or that many hosts discover at once, is not flooded.
// With more hosts than slots even one try each is too many. A host whose limit is one and whose tries are still shed
// waits for a gap before each next try. Each refusal widens the gap and each reply narrows it, and jitter keeps the
// hosts from retrying in step.
type Limit struct {
	// extra is the limit beyond one try, in units.
	extra atomic.Int64
	// until is the end of the gap in nanoseconds since the Unix epoch, or zero without a gap.
	until atomic.Int64

	mu sync.Mutex
	// gap is the mean pause before each next try while the limit is one.
	gap time.Duration
	// typical is the usual reply time at the last refusal.
	typical time.Duration
	// shed is set once a try has been shed.
	shed bool
}

// Free reports whether another try may be sent to a replica that has running tries of this host.
func (l *Limit) Free(now time.Time, running int) bool {
	if running > 0 && int64(running)*unit >= unit+l.extra.Load() {
		return false
	}
	until := l.until.Load()
	return until == 0 || now.UnixNano() >= until
}

// Most returns the maximum number of concurrent tries.
func (l *Limit) Most() int { return int(1 + l.extra.Load()/unit) }

// Answered records a reply: it narrows the gap or, without one, raises the limit if it was reached. running is the
// number of tries in flight including the answered one, slots the maximum of the limit, and spread a random number
// between 0 and 1 for jitter.
func (l *Limit) Answered(now time.Time, running, slots int, spread float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gap > 0 {
		l.gap = max(0, l.gap-l.typical/narrow)
		l.pause(now, spread)
		return
	}
	extra := l.extra.Load()
	if running < int(1+extra/unit) {
		return
	}
	step := int64(unit)
	if l.shed {
		step = growth * unit / (unit + extra)
	}
	l.extra.Store(min(extra+step, int64(max(0, slots-1))*unit))
}

// Refused records a try that the replica shed: it lowers the limit or, where the limit is one, widens the gap. typical
// is the usual reply time and spread a random number between 0 and 1 for jitter.
func (l *Limit) Refused(now time.Time, typical time.Duration, spread float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shed = true
	extra := l.extra.Load()
	l.extra.Store(max(0, (unit+extra)*keep/100-unit))
	if extra > 0 {
		return
	}
	l.typical = typical
	if l.typical <= 0 {
		l.typical = unknownReply
	}
	l.gap = min(l.gap+l.typical/widen, l.typical*widest)
	l.pause(now, spread)
}

// pause delays the next try by the gap with a jitter of ±50%.
func (l *Limit) pause(now time.Time, spread float64) {
	if l.gap == 0 {
		l.until.Store(0)
		return
	}
	l.until.Store(now.Add(time.Duration(float64(l.gap) * (0.5 + spread))).UnixNano())
}

// Reset sets the limit back to one try, for a replica that has come back.
func (l *Limit) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extra.Store(0)
	l.until.Store(0)
	l.gap, l.shed = 0, false
}
