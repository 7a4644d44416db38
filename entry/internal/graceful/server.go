package graceful

import (
	"context"
	"errors"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/acceptor"
)

// pollInterval is the interval at which a stopping server checks whether connections are open.
const pollInterval = 10 * time.Millisecond

// Options configures a Server.
type Options struct {
	Clock  clock.Clock
	Server *khttp.Server
	// Conns accepts the server's connections.
	Conns *acceptor.Listener
	// KeepIdle reports whether the port stays open and idle connections are kept while clients have any connection; nil means
	// never.
	KeepIdle func() bool
	// Wait reports whether requests in flight are waited for now; nil means always.
	Wait func() bool
}

// Server is an HTTP server that answers each request that it has read before it stops.
//
// http.Server.Shutdown closes a connection on which a request is being received, drops the requests that it reads from
// then on, and waits 5 s for connections without a request. It is therefore called when all connections are closed.
type Server struct {
	*khttp.Server
	opts Options
}

// New returns a server whose connections are those of Options.Conns.
func New(opts Options) *Server {
	if opts.KeepIdle == nil {
		opts.KeepIdle = func() bool { return false }
	}
	if opts.Wait == nil {
		opts.Wait = func() bool { return true }
	}
	return &Server{Server: opts.Server, opts: opts}
}

// Stop closes the port and each connection that is idle once they need not be kept, and returns when all requests are answered
// or ctx ends. It closes the connections that are left then.
func (s *Server) Stop(ctx context.Context) error {
	s.awaitClosed(ctx, s.opts.KeepIdle)
	s.opts.Conns.ClosePort()
	s.opts.Conns.CloseAllIdle()
	s.awaitClosed(ctx, s.opts.Wait)
	short, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	err := s.Server.Stop(short)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.Join(ctx.Err(), s.Close())
	}
	return err
}

// awaitClosed returns when no connection is open, wait returns false or ctx ends.
func (s *Server) awaitClosed(ctx context.Context, wait func() bool) {
	for s.opts.Conns.Open() > 0 && wait() && ctx.Err() == nil {
		clock.Sleep(ctx, s.opts.Clock, pollInterval)
	}
}
