package source

import (
	"sync"
	"time"
)

// StoreState shares the state of the store among the followers of one host: outages, recoveries and the restart era.
//
// A failed call starts a backoff for all kinds of objects: otherwise each host with a stale copy would call the store
// for each kind separately all through an outage.
//
// A recovery ends the backoff of all followers. Otherwise the configuration may be read at the recovery and name new
// shards, while the list of their replicas is read only after another backoff, and every page fails until then.
type StoreState struct {
	mu        sync.Mutex
	recovered chan struct{}
	// recoveries is the number of times that recovered was closed.
	recoveries int
	// failed is the time of the last failed call, zero if a call has succeeded since.
	failed time.Time
	// era is the newest restart era that a follower has entered, entered is closed at the next one.
	era     int64
	entered chan struct{}
}

// NewOutage returns the state of a store without outages so far.
func NewOutage() *StoreState {
	return &StoreState{recovered: make(chan struct{}), entered: make(chan struct{})}
}

// enterEra records that a follower has read the store in an era.
func (o *StoreState) enterEra(era int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if era <= o.era {
		return
	}
	o.era = era
	close(o.entered)
	o.entered = make(chan struct{})
}

// newestEra returns the newest era that a follower has entered, and a channel that is closed at the next one.
func (o *StoreState) newestEra() (int64, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era, o.entered
}

// Recovered returns a channel that is closed when a follower reaches the store again.
func (o *StoreState) Recovered() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recovered
}

// recoveryCount returns the number of recoveries of the store.
func (o *StoreState) recoveryCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recoveries
}

// recordRecovery records that a follower has reached the store after failed calls.
func (o *StoreState) recordRecovery() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = time.Time{}
	o.recoveries++
	close(o.recovered)
	o.recovered = make(chan struct{})
}

// recordFailure records a failed call.
func (o *StoreState) recordFailure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = now
}

// failedAt returns the time of the last failed call, and whether no call has succeeded since.
func (o *StoreState) failedAt() (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failed, !o.failed.IsZero()
}

// claimCall reports whether a follower may call the store. During an outage a claim counts as a failed call, which
// keeps the other followers in backoff. seen is the time that failedAt returned when the follower decided to call: of
// two whose backoffs end at once only one may call.
func (o *StoreState) claimCall(seen, now time.Time) bool {
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
