package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unitsPerAttempt is the fixed-point value of one attempt.
	unitsPerAttempt = 1_000
	// keptPercent is the percentage of the limit that is kept when the replica sheds an attempt.
	keptPercent = 70
	// growthAfterShed is the amount by which a reply raises a limit of one after the first shed attempt. It takes fifty
	// replies to add one attempt, since each attempt beyond the fair share costs a refusal.
	growthAfterShed = unitsPerAttempt / 50
	// gapIncreaseDivisor, gapDecreaseDivisor and maxGapFactor relate the gap between attempts to the usual reply time:
	// a refusal adds 1/2 of it to the gap, a reply takes 1/4 off, and the gap is at most twice the reply time. Hosts
	// that compete for the same slots then each get most of their share; with a multiplicative increase one of them
	// would get nearly none.
	gapIncreaseDivisor, gapDecreaseDivisor, maxGapFactor = 2, 4, 2
	// defaultReplyTime replaces the usual reply time while it is unknown.
	defaultReplyTime = 2 * time.Millisecond
)

// Limit is an adaptive limit on the concurrent attempts of this host at one replica.
//
// It handles a replica whose few slots are shared by more hosts than it has slots. Without it, all hosts resend shed
// attempts at once, and the replica spends its time refusing them. The hosts don't coordinate; each adapts to shed
// attempts, as in network congestion control: the limit grows when a reply arrives while the limit is reached, by one
// attempt per reply at first, and shrinks by about a third when an attempt is shed. It starts at one, so that a replica
// that has just started cold, or that many hosts discover at once, is not flooded.
//
// With more hosts than slots even one attempt each is too many. A host whose limit is one and whose attempts are still
// shed waits for a gap before each next attempt. Each refusal widens the gap and each reply narrows it, and jitter
// keeps the hosts from retrying in step.
type Limit struct {
	// extraUnits is the limit beyond one attempt, in units.
	extraUnits atomic.Int64
	// gapEnd is the end of the gap in nanoseconds since the Unix epoch, or zero without a gap.
	gapEnd atomic.Int64

	mu sync.Mutex
	// gap is the mean pause before each next attempt while the limit is one.
	gap time.Duration
	// replyTime is the usual reply time at the last refusal.
	replyTime time.Duration
	// hasShed is set once an attempt has been shed.
	hasShed bool
}

// Allows reports whether another attempt may be sent to a replica that has running attempts of this host.
func (l *Limit) Allows(now time.Time, running int) bool {
	if running > 0 && int64(running)*unitsPerAttempt >= unitsPerAttempt+l.extraUnits.Load() {
		return false
	}
	until := l.gapEnd.Load()
	return until == 0 || now.UnixNano() >= until
}

// MaxInFlight returns the maximum number of concurrent attempts.
func (l *Limit) MaxInFlight() int { return int(1 + l.extraUnits.Load()/unitsPerAttempt) }

// RecordReply records a reply: it narrows the gap or, without one, raises the limit if it was reached. running is the
// number of attempts in flight including the answered one, slots the maximum of the limit, and spread a random number
// between 0 and 1 for jitter.
func (l *Limit) RecordReply(now time.Time, running, slots int, spread float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gap > 0 {
		l.gap = max(0, l.gap-l.replyTime/gapDecreaseDivisor)
		l.delayNextAttempt(now, spread)
		return
	}
	extra := l.extraUnits.Load()
	if running < int(1+extra/unitsPerAttempt) {
		return
	}
	step := int64(unitsPerAttempt)
	if l.hasShed {
		step = growthAfterShed * unitsPerAttempt / (unitsPerAttempt + extra)
	}
	l.extraUnits.Store(min(extra+step, int64(max(0, slots-1))*unitsPerAttempt))
}

// RecordShed records an attempt that the replica shed: it lowers the limit or, where the limit is one, widens the gap.
// typical is the usual reply time and spread a random number between 0 and 1 for jitter.
func (l *Limit) RecordShed(now time.Time, typical time.Duration, spread float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasShed = true
	extra := l.extraUnits.Load()
	l.extraUnits.Store(max(0, (unitsPerAttempt+extra)*keptPercent/100-unitsPerAttempt))
	if extra > 0 {
		return
	}
	l.replyTime = typical
	if l.replyTime <= 0 {
		l.replyTime = defaultReplyTime
	}
	l.gap = min(l.gap+l.replyTime/gapIncreaseDivisor, l.replyTime*maxGapFactor)
	l.delayNextAttempt(now, spread)
}

// delayNextAttempt delays the next attempt by the gap with a jitter of ±50%.
func (l *Limit) delayNextAttempt(now time.Time, spread float64) {
	if l.gap == 0 {
		l.gapEnd.Store(0)
		return
	}
	l.gapEnd.Store(now.Add(time.Duration(float64(l.gap) * (0.5 + spread))).UnixNano())
}

// Reset sets the limit back to one attempt, for a replica that has come back.
func (l *Limit) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extraUnits.Store(0)
	l.gapEnd.Store(0)
	l.gap, l.hasShed = 0, false
}
