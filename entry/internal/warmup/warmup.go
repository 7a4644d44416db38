package warmup

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// Limit is the longest wait: a host whose services have no replica at all must still answer operators and say so.
	Limit = 5 * time.Second
	// every is how often the host looks; replicas answer within milliseconds of being listed.
	every = 20 * time.Millisecond
)

// Reason says how a wait ended.
type Reason string

// The ways in which a wait ends: the host can serve, it has waited for Limit, or it was told to stop.
const (
	Reached Reason = "reached"
	Expired Reason = "expired"
	Stopped Reason = "stopped"
)

// Options configures a Warmup.
type Options struct {
	// Clock tells the time.
	Clock clock.Clock
	// Known reports whether the host could answer a query of every service that it knows of.
	Known func() bool
}

// Warmup keeps the port for callers closed until the host can serve.
//
// It answers the load that comes with a replaced host: callers keep its address and connect as soon as its port
// is open. A host that knows no index version yet can only refuse what another host would have answered at once;
// a closed port sends those callers on within one connection attempt.
type Warmup struct{ opts Options }

// New returns a warm-up; both options must be set.
func New(opts Options) *Warmup { return &Warmup{opts: opts} }

// Wait returns when the host can serve, when Limit has passed, or when ctx ends.
func (w *Warmup) Wait(ctx context.Context) Reason {
	limit := w.opts.Clock.After(Limit)
	for !w.opts.Known() {
		select {
		case <-w.opts.Clock.After(every):
		case <-limit:
			return Expired
		case <-ctx.Done():
			return Stopped
		}
	}
	return Reached
}

// Service is what a host that starts knows of one service.
type Service struct {
	// Listed is how many replicas the platform's list names, Versions how many index versions they hold.
	Listed, Versions int
}

// Ready reports whether a host can answer as well as another: it has the list of replicas, and knows a version of each
// service that has any.
//
// A service whose document came before its replicas must not count, or each start of any host would last for Limit
// until somebody starts them.
func Ready(listRead bool, services []Service) bool {
	if !listRead || len(services) == 0 {
		return false
	}
	for _, s := range services {
		if s.Listed > 0 && s.Versions == 0 {
			return false
		}
	}
	return true
}
