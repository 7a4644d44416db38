package memory

import (
	"errors"
	"sync"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/event"
	"guavaspring.org/entry/internal/events"
)

const (
	// smallBytes is the size up to which a message counts as small. Larger messages share half of the budget for what they
	// take beyond it, so that they can't displace small ones.
	smallBytes = 8 << 10
	// minBytes is the least that a message is counted with.
	minBytes = 1 << 10
	// maxLinesPerSecond limits the log lines about messages that are cut off or refused.
	maxLinesPerSecond = 1
)

// Peer is the kind of program that sends a message.
type Peer string

// The kinds of peers.
const (
	Replica Peer = "replica"
	Client  Peer = "client"
	Host    Peer = "host"
	Store   Peer = "store"
)

var allPeers = [...]Peer{Replica, Client, Host, Store}

// ErrExceeded is returned if a message would take the budget over its limit, or was cut off for other messages.
var ErrExceeded = errors.New("messages from peers take all memory that is set aside for them")

var errReleased = errors.New("the message has been given up")

// Options configures a Budget.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Name names the budget in logs and metrics.
	Name string
	// Limit is the maximum number of bytes of all messages together.
	Limit int64
}

// Budget counts the bytes of the messages that the process holds and keeps their sum below a limit. At the limit, or if what
// messages take beyond smallBytes reaches half of it, the largest message that is still received is cut off.
//
// A nil Budget limits nothing.
type Budget struct {
	opts Options

	mu sync.Mutex
	// held is the sum of all messages, large the sum of what messages take beyond smallBytes.
	held, large int64
	// receiving holds the messages larger than smallBytes that can be cut off.
	receiving map[*Reservation]bool
	exceeded  map[Peer]int
	logLimit  *event.Limit
}

// New returns a budget of which nothing is used.
func New(opts Options) *Budget {
	return &Budget{opts: opts, receiving: map[*Reservation]bool{}, exceeded: map[Peer]int{}, logLimit: event.NewLimit(maxLinesPerSecond)}
}

// Reserve returns the reservation of a message that peer is about to send.
func (b *Budget) Reserve(peer Peer) (*Reservation, error) {
	if b == nil {
		return nil, nil
	}
	r := &Reservation{budget: b, peer: peer}
	if err := r.Grow(minBytes); err != nil {
		return nil, err
	}
	return r, nil
}

// Held returns the number of bytes of all messages.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// grow adds n bytes to r, and returns the functions that cut off the messages which have to make room.
func (b *Budget) grow(r *Reservation, n int64) (cuts []func(), err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.cutOff:
		return nil, ErrExceeded
	case r.released:
		return nil, errReleased
	}
	large := largeBytes(r.bytes+n) - largeBytes(r.bytes)
	for b.held+n > b.opts.Limit || large > 0 && b.large+large > b.opts.Limit/2 {
		victim := b.largest()
		if victim == nil || victim.bytes <= r.bytes+n {
			b.recordExceeded(r, r.bytes+n)
			return cuts, ErrExceeded
		}
		b.recordExceeded(victim, victim.bytes)
		b.remove(victim)
		victim.cutOff = true
		cuts = append(cuts, victim.cut)
	}
	b.held += n
	b.large += large
	r.bytes += n
	if r.cut != nil && r.bytes > smallBytes {
		b.receiving[r] = true
	}
	return cuts, nil
}

// remove subtracts the bytes of r.
func (b *Budget) remove(r *Reservation) {
	b.held -= r.bytes
	b.large -= largeBytes(r.bytes)
	r.bytes = 0
	delete(b.receiving, r)
}

// release releases r and all that it has adopted.
func (b *Budget) release(r *Reservation) {
	b.remove(r)
	for _, message := range r.adopted {
		b.release(message)
	}
	r.adopted, r.released = nil, true
}

// largest returns the largest message that can be cut off, or nil.
func (b *Budget) largest() *Reservation {
	var largest *Reservation
	for r := range b.receiving {
		if largest == nil || r.bytes > largest.bytes {
			largest = r
		}
	}
	return largest
}

// recordExceeded counts and logs a message that is cut off or refused at a size.
func (b *Budget) recordExceeded(r *Reservation, size int64) {
	b.exceeded[r.peer]++
	if b.logLimit.Allow(b.opts.Clock.Now()) {
		events.MemoryExceeded.Log(b.opts.Log, "budget", b.opts.Name, "peer", string(r.peer), "bytes", size, "held", b.held, "limit", b.opts.Limit, "skipped", b.logLimit.Skipped())
	}
}

// largeBytes returns how many bytes of a message of n bytes are beyond smallBytes.
func largeBytes(n int64) int64 { return max(0, n-smallBytes) }

// Collectors returns the metrics of the budget.
func (b *Budget) Collectors() []prometheus.Collector {
	if b == nil {
		return nil
	}
	list := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "guavaspring_messages_held_bytes", Help: "Memory of the messages from peers that the host holds, by budget.", ConstLabels: prometheus.Labels{"budget": b.opts.Name},
		}, func() float64 { return float64(b.Held()) }),
	}
	for _, peer := range allPeers {
		list = append(list, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "guavaspring_messages_exceeded_total", Help: "Messages cut off or refused, as messages from peers took all memory set aside for them, by budget and kind of peer.", ConstLabels: prometheus.Labels{"budget": b.opts.Name, "peer": string(peer)},
		}, func() float64 { return float64(b.countExceeded(peer)) }))
	}
	return list
}

func (b *Budget) countExceeded(peer Peer) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exceeded[peer]
}
