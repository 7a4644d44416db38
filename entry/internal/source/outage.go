package source

import "sync"

// Outage tells the followers of one host that the store is back.
//
// Each kind of object has its own follower, and each leaves the store alone for up to a second after a call that failed. Where the configuration was
// read at the store's return and named new shards, their replicas were read 0.4 s later, and every page of 84 hosts failed until then.
type Outage struct {
	mu   sync.Mutex
	back chan struct{}
}

// NewOutage returns an outage that nobody has seen the end of.
func NewOutage() *Outage { return &Outage{back: make(chan struct{})} }

// Back returns a channel that is closed once a follower reaches the store again.
func (o *Outage) Back() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.back
}

// over says that a follower has reached the store after calls that failed.
func (o *Outage) over() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.back)
	o.back = make(chan struct{})
}
