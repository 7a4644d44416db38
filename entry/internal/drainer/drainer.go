package drainer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
)

// step is how often a grace that may end early is looked at.
const step = 100 * time.Millisecond

// Options configures a Drainer.
type Options struct {
	// Clock tells the time; nil means the system's.
	Clock clock.Clock
	// Announce tells the other hosts that this one is leaving.
	Announce func(ctx context.Context)
	// Grace is how long callers may go on coming after the announcement: as long as they keep addresses, and the time
	// the other hosts take to hear of it.
	Grace func() time.Duration
	// Alone reports whether no other host serves, so that there is nobody to leave the callers to; nil means never.
	Alone func() bool
}

// Drainer takes a host out of service: it announces the stop and goes on serving until callers have had time to leave.
//
// A server that closes its port when it is told to stop refuses every caller that still holds its address, and
// drops a request that arrives on an idle connection in that moment; the caller of a write then can't tell
// whether it ran. During the grace every reply closes its connection and tells the caller to ask for
// addresses, so that no connection that is in use is left when the port closes.
type Drainer struct {
	opts    Options
	leaving atomic.Bool
	// left is closed once the grace is over.
	left    chan struct{}
	running atomic.Int64
}

// New returns a drainer of a host that serves.
func New(opts Options) *Drainer {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Alone == nil {
		opts.Alone = func() bool { return false }
	}
	return &Drainer{opts: opts, left: make(chan struct{})}
}

// Leaving reports whether Leave was called.
func (d *Drainer) Leaving() bool { return d.leaving.Load() }

// Running returns how many requests are in flight.
func (d *Drainer) Running() int { return int(d.running.Load()) }

// Leave announces the stop and returns when the port may be closed, or ctx ends; the server then has to finish what is
// in flight.
func (d *Drainer) Leave(ctx context.Context) error {
	if d.leaving.Swap(true) {
		// A second order to stop must not shorten the grace of the first.
		select {
		case <-d.left:
		case <-ctx.Done():
		}
		return nil
	}
	defer close(d.left)
	end := d.opts.Clock.Now().Add(d.opts.Grace())
	d.opts.Announce(ctx)
	for d.opts.Clock.Now().Before(end) && !d.opts.Alone() {
		select {
		case <-d.opts.Clock.After(step):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// Filter counts the requests of next and, once the host is leaving, has each reply say so and close its connection.
func (d *Drainer) Filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.running.Add(1)
		defer d.running.Add(-1)
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
			w.Header().Set(caller.HeaderUseAddresses, caller.UseRefresh)
		}
		next.ServeHTTP(w, r)
	})
}
