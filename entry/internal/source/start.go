package source

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/relay"
)

const (
	// firstWait bounds the wait for the hosts that the settings name at a start without clients. Those are up 0.3 s
	// after the others at the latest, have read the store a moment later, and then have hundreds of hosts to answer,
	// each of which would call the store if it waited no longer.
	firstWait = 2 * time.Second
	// firstAgain is how soon one of those that takes no connection yet is tried again, and firstNext how long one may
	// take to answer before the next is asked as well.
	firstAgain = 40 * time.Millisecond
	firstNext  = 120 * time.Millisecond
)

// first asks the hosts that the settings name for all there is before the store is called, one after the other.
//
// It answers a fleet that starts at once: where each host lists each kind by itself, as those named are not up yet,
// thousands of hosts make more calls than the store takes in a second. A client that waits ends it.
func (f *Follower[T]) first(ctx context.Context) {
	if f.opts.First == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstWait)
	defer cancel()
	go func() {
		select {
		case <-f.opts.Wanted:
			cancel()
		case <-ctx.Done():
		}
	}()
	parents := f.opts.First()
	type answer struct {
		from  string
		rep   relay.Reply[T]
		began time.Time
	}
	answers := make(chan answer, len(parents))
	for i, p := range parents {
		go func() {
			rep, began := f.askFirst(ctx, p, time.Duration(i)*firstNext)
			answers <- answer{p.Name, rep, began}
		}()
	}
	for range parents {
		if a := <-answers; a.rep.Age >= 0 {
			f.heard(a.from, a.rep, a.began)
			return
		}
	}
}

// askFirst asks one host, from some time on, until it has all there is, and returns when it was asked. The age of its
// reply is negative where ctx ends before that.
func (f *Follower[T]) askFirst(ctx context.Context, p Parent[T], after time.Duration) (relay.Reply[T], time.Time) {
	clock.Sleep(ctx, f.opts.Clock, after)
	for ctx.Err() == nil {
		began := f.opts.Clock.Now()
		rep, err := p.Ask(ctx, relay.Args{Wait: firstWait})
		if err == nil && rep.Age >= 0 && rep.Full && rep.Revision > 0 {
			return rep, began
		}
		// A host that is not up yet is the usual case.
		clock.Sleep(ctx, f.opts.Clock, firstAgain)
	}
	return relay.Reply[T]{Age: -1}, time.Time{}
}
