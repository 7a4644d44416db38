package host

import (
	"context"
	"crypto/rand"
	"fmt"
	"math"
	"net"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"guavaspring.org/entry/internal/acceptor"
	"guavaspring.org/entry/internal/callers"
	"guavaspring.org/entry/internal/graceful"
)

// newServer returns the server for callers and operators, which listens already.
func (h *Host) newServer(ctx context.Context) (*graceful.Server, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", h.opts.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	conns := acceptor.New(acceptor.Options{Clock: h.opts.Clock, Log: h.opts.Log, Listener: l, MaxConns: math.MaxInt, HeaderTimeout: callers.HeaderTimeout})
	srv := callers.New(callers.Options{
		Clock: h.opts.Clock, Log: h.opts.Log, Listen: h.opts.Listen, NewID: rand.Text, Explain: h.explain,
		Metrics: h.metrics.Registry(), Answered: h.metrics.Answered, Service: h.service, Ready: h.ready,
		Addresses: h.addresses, Refresh: h.needsRefresh, Filter: h.drain.Filter, Write: h.writer.Write,
	})
	khttp.Listener(conns)(srv)
	srv.ConnState = conns.State
	return graceful.New(graceful.Options{Clock: h.opts.Clock, Server: srv, Conns: conns}), nil
}
