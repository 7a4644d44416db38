package spend

import (
	"sync"
	"time"
)

const (
	// steps is the number of slots in a window. Each slot counts as a whole, so that the limit also holds for windows
	// that begin within a slot.
	steps = 20
	// caution is the share of the limit that is used, since the counts of hosts that join or are replaced start at zero
	// and miss a window.
	caution = 0.9
	// hedgeFloor is the share of a window's budget that is reserved for retries: a retry follows a failure, a hedge only
	// a suspected one.
	hedgeFloor = 0.25
)

// Options configures the limit on extra tries, of all hosts together.
type Options struct {
	// Ratio is the number of extra tries per request in each Window, Slack a number allowed in addition to it.
	Ratio, Slack float64
	Window       time.Duration
}

// Budget is one host's share of the limit for one service.
//
// A fault may make many tries fail or be late at once; retrying all of them doubles the load on replicas that are
// already overloaded. A token bucket allows a full burst on top of the full rate within one window, so Budget counts the
// tries in the window itself.
type Budget struct {
	opts Options

	mu sync.Mutex
	// epoch is the time of first use. Slots are counted from it, since the wall clock may jump.
	epoch    time.Time
	at       int64
	requests [2 * steps]float64
	extra    [2 * steps]float64
}

// New returns an unused budget.
func New(opts Options) *Budget { return &Budget{opts: opts} }

// Request counts a request, on its first try.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.turn(now)]++
}

// Retry takes one retry from the budget, where share is this host's share of the slack, and reports whether it may be
// sent.
func (b *Budget) Retry(now time.Time, share float64) bool { return b.take(now, share, 1) }

// Hedge takes one hedge from the budget, where share is this host's share of the slack, and reports whether it may be
// sent.
func (b *Budget) Hedge(now time.Time, share float64) bool { return b.take(now, share, 1-hedgeFloor) }

// Unsend returns an extra try that was not sent to the budget.
func (b *Budget) Unsend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.turn(now); b.extra[i] > 0 {
		b.extra[i]--
	}
}

// take takes one extra try if the budget, of which it may use part, allows it.
func (b *Budget) take(now time.Time, share, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.turn(now)
	allowed := caution * (b.opts.Ratio*b.known() + b.opts.Slack*share)
	if b.spent()+1 > part*allowed {
		return false
	}
	b.extra[i]++
	return true
}

// known returns the number of requests in the last window, or in the one before if that is larger, so that a falling
// load does not reduce the budget at once.
func (b *Budget) known() float64 {
	var last, before float64
	for i := range int64(steps) {
		last += b.requests[slot(b.at-i)]
		before += b.requests[slot(b.at-steps+1-i)]
	}
	return max(last, before)
}

// spent returns the number of extra tries in the current slot and the whole window before it.
func (b *Budget) spent() float64 {
	sum := 0.0
	for i := range int64(steps + 1) {
		sum += b.extra[slot(b.at-i)]
	}
	return sum
}

// turn clears expired slots and returns the index of the current one.
func (b *Budget) turn(now time.Time) int {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	at := int64(now.Sub(b.epoch) / (b.opts.Window / steps))
	for b.at < at {
		b.at = max(b.at+1, at-2*steps)
		b.requests[slot(b.at)], b.extra[slot(b.at)] = 0, 0
	}
	return slot(b.at)
}

// slot returns the index of a slot in the ring.
func slot(at int64) int { return int(((at % (2 * steps)) + 2*steps) % (2 * steps)) }
