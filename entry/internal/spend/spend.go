package spend

import (
	"sync"
	"time"
)

const (
	// steps is into how many parts a window is cut. Each part counts whole, so that the bound holds for windows that
	// slide between them too.
	steps = 20
	// caution is the share of the bound that is used: hosts that join or are replaced count from nothing for a window.
	caution = 0.9
	// hedgeFloor is the share of a window's allowance that only retries may use. A retry mends a failure that was seen,
	// a hedge one that is only feared.
	hedgeFloor = 0.25
)

// Options is the bound on extra tries.
type Options struct {
	// Ratio is the share of the requests that may be tried again, and Slack a number besides, in each Window, of all
	// hosts together.
	Ratio, Slack float64
	Window       time.Duration
}

// Budget is one host's part of the bound for one service.
//
// It answers a fault that makes many tries fail or be late at once. Each of them sent again doubles the load on
// replicas that can bear it least. A token bucket alone lets a full burst pass on top of a full rate within one window;
// this counts what was sent in the window itself.
type Budget struct {
	opts Options

	mu sync.Mutex
	// epoch is when the budget was first used: parts are counted from it, since the time of day may jump.
	epoch    time.Time
	at       int64
	requests [2 * steps]float64
	extra    [2 * steps]float64
}

// New returns a budget from which nothing was spent.
func New(opts Options) *Budget { return &Budget{opts: opts} }

// Request counts the first try of a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.turn(now)]++
}

// Retry takes one try after a failure, where this host has a share of the slack, and reports whether it may be sent.
func (b *Budget) Retry(now time.Time, share float64) bool { return b.take(now, share, 1) }

// Hedge takes one try beside another, and reports whether it may be sent.
func (b *Budget) Hedge(now time.Time, share float64) bool { return b.take(now, share, 1-hedgeFloor) }

// Unsend gives back a try that was never sent.
func (b *Budget) Unsend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.turn(now); b.extra[i] > 0 {
		b.extra[i]--
	}
}

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

// known returns the requests of the last window, or of the one before it where those were more: the load may fall, but
// what was allowed by it is not to be taken back at once.
func (b *Budget) known() float64 {
	var last, before float64
	for i := range int64(steps) {
		last += b.requests[slot(b.at-i)]
		before += b.requests[slot(b.at-steps+1-i)]
	}
	return max(last, before)
}

// spent returns the extra tries in the running part and a whole window before it.
func (b *Budget) spent() float64 {
	sum := 0.0
	for i := range int64(steps + 1) {
		sum += b.extra[slot(b.at-i)]
	}
	return sum
}

// turn empties the parts that have become too old and returns the running one.
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

func slot(at int64) int { return int(((at % (2 * steps)) + 2*steps) % (2 * steps)) }
