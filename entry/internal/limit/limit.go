package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unit is one try in the counter.
	unit = 1_000
	// keep is the share of a limit, in percent, that is left after the replica shed a try.
	keep = 70
	// growth is what a reply adds to a limit of one after a first shed: fifty replies for one more try, since each
	// attempt beyond the fair share costs a refusal.
	growth = unit / 50
	// widen, narrow and widest are parts of the usual reply time: a refusal adds a half to the gap, a reply takes a
	// quarter off, and no gap is over two. Hosts that all want the same slots then each get most of their share; a gap
	// that grew by multiplying would leave one of them nearly nothing.
	widen, narrow, widest = 2, 4, 2
	// unknownReply stands for the usual reply time where it is not known.
	unknownReply = 2 * time.Millisecond
)

// Limit is the number of tries that this host may run at one replica at once.
//
// It answers a replica whose few slots are shared by more hosts than it has slots. Without it, a host that
// is unlucky sends again what was shed, all hosts do so at once, and a replica spends its time refusing.
// No host is told of the others; each learns from what is shed, as senders do in a network: it adds a try
// where its limit was used and the reply came, and gives up a third where a try was shed. It starts at one,
// so that a replica that has just started cold, or that many hosts discover at once, is not flooded.
// With more hosts than slots even one try each is too many: a host whose limit is one and that is still shed
// leaves a gap before each next try, wider with each refusal and narrower with each reply, spread so that
// hosts don't come back in step.
type Limit struct {
	extra atomic.Int64
	until atomic.Int64

	mu  sync.Mutex
	gap time.Duration
	// typical is the usual reply time at the last refusal.
	typical time.Duration
	shed    bool
}

// Free reports whether one more try may be sent to a replica that runs so many of this host.
func (l *Limit) Free(now time.Time, running int) bool {
	if running > 0 && int64(running)*unit >= unit+l.extra.Load() {
		return false
	}
	until := l.until.Load()
	return until == 0 || now.UnixNano() >= until
}

// Most returns how many tries may run at once.
func (l *Limit) Most() int { return int(1 + l.extra.Load()/unit) }

// Answered counts a reply that came while so many tries ran, itself included; slots is the most that the limit may
// reach, spread a random number between 0 and 1.
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

// Refused counts a try that the replica shed; typical is the usual reply time and spread a random number between 0 and
// 1.
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

// pause holds the next try back for the gap, half of it more or less.
func (l *Limit) pause(now time.Time, spread float64) {
	if l.gap == 0 {
		l.until.Store(0)
		return
	}
	l.until.Store(now.Add(time.Duration(float64(l.gap) * (0.5 + spread))).UnixNano())
}

// Reset starts again at one try, as towards a replica that comes back.
func (l *Limit) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extra.Store(0)
	l.until.Store(0)
	l.gap, l.shed = 0, false
}
