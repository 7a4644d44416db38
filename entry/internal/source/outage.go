package source

import (
	"sync"
	"time"
)

// Outage reports to the followers of one host that the store is away, that it is back, and in which era.
//
// A call that failed says so for all kinds of objects: otherwise each host that hears nothing fresh asks for each kind by
// itself all through an outage.
//
// Each kind of object has its own follower, and each leaves the store alone for up to a second after a call that
// failed. Where the configuration is read at the store's return and names new shards, their replicas would be read later,
// and every page fail until then.
type Outage struct {
	mu   sync.Mutex
	back chan struct{}
	// returns counts how often back was closed.
	returns int
	// failed is when a call failed last, zero where one succeeded after it.
	failed time.Time
	// era is the newest era of the store that a follower has entered, and entered is closed with the next.
	era     int64
	entered chan struct{}
}

// NewOutage returns an outage that nobody has seen the end of.
func NewOutage() *Outage {
	return &Outage{back: make(chan struct{}), entered: make(chan struct{})}
}

// enter says that a follower has read the store in an era.
func (o *Outage) enter(era int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if era <= o.era {
		return
	}
	o.era = era
	close(o.entered)
	o.entered = make(chan struct{})
}

// newestEra returns the newest era that a follower has entered, and a channel that is closed with the next.
func (o *Outage) newestEra() (int64, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era, o.entered
}

// Back returns a channel that is closed once a follower reaches the store again.
func (o *Outage) Back() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.back
}

// returnCount returns how often a follower has reached the store again.
func (o *Outage) returnCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.returns
}

// over says that a follower has reached the store after calls that failed.
func (o *Outage) over() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = time.Time{}
	o.returns++
	close(o.back)
	o.back = make(chan struct{})
}

// lost says that a call failed.
func (o *Outage) lost(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = now
}

// failedAt returns when a call failed last, and whether none has succeeded since.
func (o *Outage) failedAt() (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failed, !o.failed.IsZero()
}

// claim reports whether a follower may call the store, and keeps the others from it for a while where it is away. seen
// is what failedAt returned when the follower decided: two whose rests end at once must not both call.
func (o *Outage) claim(seen, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed.IsZero() {
		return true
	}
	if !o.failed.Equal(seen) {
		return false
	}
	o.failed = now
	return true
}
