package retrybudget

import (
	"sync"
	"time"
)

const (
	// windowSlots is the number of slots in a window. Each slot counts as a whole, so that the limit also holds for
	// windows that begin within a slot.
	windowSlots = 20
	// usableShare is the share of the limit that is used, since the counts of hosts that join or are replaced start at
	// zero and miss a window.
	usableShare = 0.9
	// retryReserve is the share of a window's budget that is reserved for retries: a retry follows a failure, a hedge
	// only a suspected one.
	retryReserve = 0.25
	// steadyShare is the share of the recent load that is expected to continue. The limit for a window depends on requests
	// that come after the extra attempts: fewer do once hosts refuse requests under overload, which is when most attempts
	// fail.
	steadyShare = 0.5
)

// Options configures the limit on extra attempts, of all hosts together.
type Options struct {
	// Ratio is the number of extra attempts per request in each Window, Slack a number allowed in addition to it.
	Ratio, Slack float64
	Window       time.Duration
}

// Budget is one host's share of the limit for one service.
//
// A fault may make many attempts fail or be late at once; retrying all of them doubles the load on replicas that are
// already overloaded. A token bucket allows a full burst on top of the full rate within one window, so Budget counts
// the attempts in the window itself.
type Budget struct {
	opts Options

	mu sync.Mutex
	// epoch is the time of first use. Slots are counted from it, since the wall clock may jump.
	epoch         time.Time
	current       int64
	requests      [2 * windowSlots]float64
	extraAttempts [2 * windowSlots]float64
}

// New returns an unused budget.
func New(opts Options) *Budget { return &Budget{opts: opts} }

// Request counts a request, on its first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Retry takes one retry from the budget, where share is this host's share of the slack, and reports whether it may be
// sent.
func (b *Budget) Retry(now time.Time, share float64) bool { return b.take(now, share, 1) }

// Hedge takes one hedge from the budget, where share is this host's share of the slack, and reports whether it may be
// sent.
func (b *Budget) Hedge(now time.Time, share float64) bool { return b.take(now, share, 1-retryReserve) }

// Refund refunds an extra attempt that was not sent.
func (b *Budget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.advance(now); b.extraAttempts[i] > 0 {
		b.extraAttempts[i]--
	}
}

// take takes one extra attempt from a share of the budget, usable, and reports whether it may be sent.
func (b *Budget) take(now time.Time, share, usable float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	if !b.allows(usable*usableShare, share) {
		return false
	}
	b.extraAttempts[i]++
	return true
}

// allows reports whether one more extra attempt is within a part of the limit, usable, in each window that holds it: in the
// last one, and in those that began later and are not over yet.
func (b *Budget) allows(usable, share float64) bool {
	allowed := func(requests float64) float64 { return usable * (b.opts.Ratio*requests + b.opts.Slack*share) }
	total := b.requestCount()
	extra, requests := 0.0, 0.0
	for n := range int64(windowSlots) {
		i := slotIndex(b.current - n)
		extra += b.extraAttempts[i]
		requests += b.requests[i]
		left := 1 - float64(n+1)/windowSlots
		// A host may exceed these windows by one attempt, or one with few requests could send none at all.
		if extra > allowed(requests+steadyShare*left*total) {
			return false
		}
	}
	return b.extraCount()+1 <= allowed(total)
}

// requestCount returns the number of requests in the last window.
func (b *Budget) requestCount() float64 {
	sum := 0.0
	for i := range int64(windowSlots) {
		sum += b.requests[slotIndex(b.current-i)]
	}
	return sum
}

// extraCount returns the number of extra attempts in the current slot and the whole window before it.
func (b *Budget) extraCount() float64 {
	sum := 0.0
	for i := range int64(windowSlots + 1) {
		sum += b.extraAttempts[slotIndex(b.current-i)]
	}
	return sum
}

// advance clears expired slots and returns the index of the current one.
func (b *Budget) advance(now time.Time) int {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	at := int64(now.Sub(b.epoch) / (b.opts.Window / windowSlots))
	for b.current < at {
		b.current = max(b.current+1, at-2*windowSlots)
		b.requests[slotIndex(b.current)], b.extraAttempts[slotIndex(b.current)] = 0, 0
	}
	return slotIndex(b.current)
}

// slotIndex returns the index of slot n in the ring of two windows.
func slotIndex(n int64) int {
	return int(((n % (2 * windowSlots)) + 2*windowSlots) % (2 * windowSlots))
}
