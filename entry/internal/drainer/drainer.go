package drainer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
)

// pollInterval is the interval at which Leave checks whether the grace period is over.
const pollInterval = 100 * time.Millisecond

// minTimer and timerSpread are the least length and the range of lengths of the timers that show how late timers fire.
const (
	minTimer    = 10 * time.Millisecond
	timerSpread = 100 * time.Millisecond
)

// Options configures a Drainer.
type Options struct {
	// Clock is the time source; nil means the system clock.
	Clock clock.Clock
	// Announce informs the other hosts that this one is leaving.
	Announce func(ctx context.Context)
	// Grace returns the time for which the host accepts requests after the announcement. It covers the time for which
	// callers cache addresses and the time the announcement takes to reach the other hosts.
	Grace func() time.Duration
	// Finish is the time after the grace period within which requests in flight have to be answered, because the process
	// is killed soon after; zero means no limit. Margin is the time from then to the kill. Where it is too short to answer
	// those in flight, on a process that gets little processor time, they are answered sooner.
	Finish, Margin time.Duration
	// Alone reports whether no other host could serve the callers, which ends the grace period; nil means never.
	Alone func() bool
}

// Drainer announces that a host stops and keeps it serving until callers have had time to switch to other hosts.
//
// A server that closes its port at once refuses every caller that still has its address, and drops a request that
// arrives on an idle connection at that moment; the caller of a write then can't determine whether it ran. During the
// grace period every response closes its connection and has the caller request addresses again, so that no connection
// is in use when the port closes.
type Drainer struct {
	opts    Options
	leaving atomic.Bool
	// graceOver is closed at the end of the grace period.
	graceOver chan struct{}
	// began is the time of the signal to stop, nil before it, and late the number of requests received since.
	began atomic.Pointer[time.Time]
	late  atomic.Int64
	// end is the time by which all requests have to be answered, nil while there is none; ended ends then.
	end atomic.Pointer[time.Time]
	// lastWrite is the time until which responses may be written, nil while there is none.
	lastWrite atomic.Pointer[time.Time]
	ended     context.Context
	markEnded context.CancelFunc
	inFlight  atomic.Int64
}

// New returns a Drainer for a serving host.
func New(opts Options) *Drainer {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Alone == nil {
		opts.Alone = func() bool { return false }
	}
	d := &Drainer{opts: opts, graceOver: make(chan struct{})}
	d.ended, d.markEnded = context.WithCancel(context.Background())
	return d
}

// Leaving reports whether Leave was called.
func (d *Drainer) Leaving() bool { return d.leaving.Load() }

// Running returns the number of requests in flight.
func (d *Drainer) Running() int { return int(d.inFlight.Load()) }

// Late returns the number of requests received since the signal to stop.
func (d *Drainer) Late() int { return int(d.late.Load()) }

// Stopping returns the time since the signal to stop, zero before it.
func (d *Drainer) Stopping() time.Duration {
	began := d.began.Load()
	if began == nil {
		return 0
	}
	return d.opts.Clock.Now().Sub(*began)
}

// CanFinish reports whether a request that comes now and is expected to take that long would be answered before the
// process is killed. If not, it must not be sent to a replica: its client would never learn whether it ran.
func (d *Drainer) CanFinish(expected time.Duration) bool {
	end := d.end.Load()
	return end == nil || !d.opts.Clock.Now().Add(expected).After(*end)
}

// CanWrite reports whether a response may still be written. On a process that gets little processor time that is long after
// Ended, but no later than half of Options.Margin before the kill, by the time at which the signal was received.
func (d *Drainer) CanWrite() bool {
	last := d.lastWrite.Load()
	return last == nil || !d.opts.Clock.Now().After(*last)
}

// Ended returns a channel that is closed when all requests in flight have to be answered, whatever their replicas do.
func (d *Drainer) Ended() <-chan struct{} { return d.ended.Done() }

// OnEnd calls f in a goroutine of its own when all requests in flight have to be answered, at once if that is past. The
// function that it returns keeps f from being called and reports whether it has.
func (d *Drainer) OnEnd(f func()) (release func() bool) { return context.AfterFunc(d.ended, f) }

// Leave announces the stop and returns at the end of the grace period, or when ctx ends. The server may then close its
// port and has to finish the requests in flight.
func (d *Drainer) Leave(ctx context.Context) error {
	if d.leaving.Swap(true) {
		// A second stop signal must not shorten the grace period of the first.
		select {
		case <-d.graceOver:
		case <-ctx.Done():
		}
		return nil
	}
	defer close(d.graceOver)
	grace := d.opts.Grace()
	now := d.opts.Clock.Now()
	d.began.Store(&now)
	end := now.Add(grace)
	if d.opts.Finish > 0 {
		last := end.Add(d.opts.Finish)
		d.end.Store(&last)
		lastWrite := last.Add(d.opts.Margin / 2)
		d.lastWrite.Store(&lastWrite)
		go d.awaitEnd(end, last)
	}
	d.opts.Announce(ctx)
	for d.opts.Clock.Now().Before(end) && !d.opts.Alone() {
		select {
		case <-d.opts.Clock.After(pollInterval):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// awaitEnd marks the end of all requests, as late as possible between the end of the grace period and last.
func (d *Drainer) awaitEnd(graceEnd, last time.Time) {
	var timers lateness
	for {
		end := last.Add(-max(0, timers.timeToAnswer(d.Running())-d.opts.Margin))
		if end.Before(graceEnd) {
			end = graceEnd
		}
		d.end.Store(&end)
		now := d.opts.Clock.Now()
		if !now.Before(end) {
			d.markEnded()
			return
		}
		wait := min(minTimer+rand.N(timerSpread), end.Sub(now))
		<-d.opts.Clock.After(wait)
		timers.add(d.opts.Clock.Now().Sub(now.Add(wait)))
	}
}

// Filter counts the requests in flight. Once the host is leaving, each response closes its connection and has the
// caller request addresses again.
func (d *Drainer) Filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.leaving.Load() {
			d.late.Add(1)
		}
		next.ServeHTTP(&leavingResponse{ResponseWriter: w, leaving: &d.leaving}, r)
	})
}

// leavingResponse closes its connection and has the client request addresses again, if the host is leaving when the response
// begins.
type leavingResponse struct {
	http.ResponseWriter
	leaving *atomic.Bool
}

// announce sets the header if the host is leaving; it has no effect once the response has begun.
func (r *leavingResponse) announce() {
	if r.leaving.Load() {
		r.Header().Set("Connection", "close")
		r.Header().Set(caller.HeaderUseAddresses, caller.UseRefresh)
	}
}

// WriteHeader begins the response.
func (r *leavingResponse) WriteHeader(status int) {
	r.announce()
	r.ResponseWriter.WriteHeader(status)
}

// Write begins the response if it has not begun.
func (r *leavingResponse) Write(p []byte) (int, error) {
	r.announce()
	return r.ResponseWriter.Write(p)
}

// FlushError begins the response if it has not begun.
func (r *leavingResponse) FlushError() error {
	r.announce()
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap returns the server's writer, for http.ResponseController.
func (r *leavingResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }
