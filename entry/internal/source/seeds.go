package source

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/relay"
)

const (
	// seedTimeout bounds the wait for the seed hosts at a start without client requests. Seeds are up at most 0.3 s after
	// the other hosts and have read the store a moment later, but then have hundreds of hosts to reply to, each of which
	// would call the store after a shorter wait.
	seedTimeout = 2 * time.Second
	// seedRetryInterval is the retry interval for a seed that refuses connections. seedStagger is the time for one seed to
	// reply before the next one is asked as well.
	seedRetryInterval = 40 * time.Millisecond
	seedStagger       = 120 * time.Millisecond
)

// askSeeds asks the seed hosts for all objects before the store is called, each a little later than the one before.
//
// It is for a fleet that starts at once: if each host listed each kind by itself while the seeds are not up yet,
// thousands of hosts would make more calls than the store accepts in a second. A waiting client request ends the wait.
func (f *Follower[T]) askSeeds(ctx context.Context) {
	if f.opts.First == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
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
			rep, began := f.askSeed(ctx, p, time.Duration(i)*seedStagger)
			answers <- answer{p.Name, rep, began}
		}()
	}
	for range parents {
		if a := <-answers; a.rep.Age >= 0 {
			f.applyReply(a.from, a.rep, a.began)
			return
		}
	}
}

// askSeed asks one seed, after a delay, until it has all objects. It returns the reply and the time of the request; the
// age of the reply is negative if ctx ends before.
func (f *Follower[T]) askSeed(ctx context.Context, p Parent[T], delay time.Duration) (relay.Reply[T], time.Time) {
	clock.Sleep(ctx, f.opts.Clock, delay)
	for ctx.Err() == nil {
		began := f.opts.Clock.Now()
		rep, err := p.Ask(ctx, relay.Args{Wait: seedTimeout})
		if err == nil && rep.Age >= 0 && rep.Full && rep.Revision > 0 {
			return rep, began
		}
		// A seed that is not up yet is the usual case.
		clock.Sleep(ctx, f.opts.Clock, seedRetryInterval)
	}
	return relay.Reply[T]{Age: -1}, time.Time{}
}
