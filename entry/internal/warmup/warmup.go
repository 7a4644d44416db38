package warmup

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// Limit is the longest wait. A host whose services have no replicas at all must still start, to report that to
	// operators.
	Limit = 5 * time.Second
	// pollInterval is the polling interval; replicas answer within milliseconds of being listed.
	pollInterval = 20 * time.Millisecond
)

// Reason is the reason why a wait ended.
type Reason string

// The reasons why a wait ends: the host can serve, Limit has passed, or the context has ended.
const (
	Reached Reason = "reached"
	Expired Reason = "expired"
	Stopped Reason = "stopped"
)

// Options configures a Warmup.
type Options struct {
	Clock clock.Clock
	// Known reports whether the host can answer queries of every configured service.
	Known func() bool
}

// Warmup keeps the port for callers closed until the host can serve.
//
// Callers keep the address of a host that is replaced and connect as soon as its port is open. A host without any index
// version yet can only refuse requests that another host would answer at once. If the port is closed, callers move on
// to another host within one connection attempt.
type Warmup struct{ opts Options }

// New returns a warm-up; both options must be set.
func New(opts Options) *Warmup { return &Warmup{opts: opts} }

// Wait returns when the host can serve, when Limit has passed, or when ctx ends.
func (w *Warmup) Wait(ctx context.Context) Reason {
	limit := w.opts.Clock.After(Limit)
	for !w.opts.Known() {
		select {
		case <-w.opts.Clock.After(pollInterval):
		case <-limit:
			return Expired
		case <-ctx.Done():
			return Stopped
		}
	}
	return Reached
}

// Service is the state of one service on a starting host.
type Service struct {
	// Listed is the number of replicas in the platform's list, Versions the number of index versions that they hold.
	Listed, Versions int
}

// Ready reports whether a host can serve: it has read the list of replicas, and knows an index version of each service
// that has any replicas.
//
// Services without replicas don't count: a service may be configured before its replicas start, and until then each
// start of a host would take Limit.
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
