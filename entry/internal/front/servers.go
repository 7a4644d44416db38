package front

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/go-logr/logr"

	"guavaspring.org/entry/internal/acceptor"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/forward"
	"guavaspring.org/entry/internal/graceful"
	"guavaspring.org/entry/internal/idle"
	"guavaspring.org/entry/internal/lifecycle"
	"guavaspring.org/entry/internal/panics"
	"guavaspring.org/entry/internal/scatter"
)

const (
	// requestConnsRatio and lookupConnsRatio are the shares of the memory limit for clients' connections for requests and for
	// address lookups. docs/CAPACITY.md derives them.
	requestConnsRatio = 1.0 / 8
	lookupConnsRatio  = 1.0 / 16
	// connBytes is the memory of one connection with its buffers and goroutines.
	connBytes = 20 << 10
	// maxCheckConns is the maximum number of connections for readiness checks, and of those for metrics.
	maxCheckConns = 64
)

const (
	// defaultIdleTimeout is how long an idle connection of a client is kept unless the configuration says; longer is
	// always safe.
	defaultIdleTimeout = time.Minute
	// readHeaderTimeout bounds the time to read the header of a request.
	readHeaderTimeout = 10 * time.Second
	// idleEnd is the time before the end of all requests at which a stopping host closes its port and idle connections. It
	// keeps them until then for requests on their way.
	idleEnd = 200 * time.Millisecond
)

// servers returns the servers of clients, readiness checks, address lookups and, if they have an address, metrics.
func (f *Front) servers(ctx context.Context) ([]lifecycle.Server, error) {
	fwd := f.newForwarder()
	f.forwarder.Store(fwd)
	connLimit := func(ratio float64) int { return int(ratio * float64(f.opts.MemoryBytes) / connBytes) }
	var list []lifecycle.Server
	for _, s := range []struct {
		addr      netip.AddrPort
		handler   http.Handler
		connLimit int
		idleLimit func() time.Duration
	}{
		{f.opts.Front, f.drain.Filter(fwd), connLimit(requestConnsRatio), f.idleLimit},
		{f.opts.Readiness, f.opts.Ready(f.ready), maxCheckConns, nil},
		{f.opts.Directory, f.opts.Resolve(f.addresses), connLimit(lookupConnsRatio), nil},
		{f.opts.Metrics, f.metrics.Handler(), maxCheckConns, nil},
	} {
		if !s.addr.IsValid() {
			continue
		}
		srv, err := f.server(ctx, s.addr, s.handler, s.connLimit, s.idleLimit)
		if err != nil {
			return nil, err
		}
		list = append(list, srv)
	}
	return list, nil
}

// newForwarder returns the handler of clients' requests.
func (f *Front) newForwarder() *forward.Forwarder {
	return forward.New(forward.Options{
		Clock: f.opts.Clock, Log: f.opts.Log, Codec: &f.opts.Codec, Config: f.config.Load, Table: f.table, Known: f.loaded, Await: f.startup.Await,
		Runner: scatter.New(scatter.Options{Clock: f.opts.Clock, Share: f.budgetShare.Get, Quarantine: f.quarantine, Subqueries: f.subqueries(), Region: f.opts.Region, Ended: f.drain.Ended(), Shares: f.newShares()}), Quarantine: f.quarantine, CanFinish: f.drain.CanFinish, OnEnd: f.drain.OnEnd,
		Allowance: f.allowances.Take, Memory: f.opts.Memory, Requests: f.log, Ended: f.recordEnded, Refused: f.metrics.RecordRefused,
	})
}

// server returns a kratos server that listens on addr and passes all requests to h. Function idleLimit returns the idle
// time-out, which may change; nil means defaultIdleTimeout.
func (f *Front) server(ctx context.Context, addr netip.AddrPort, h http.Handler, connLimit int, idleLimit func() time.Duration) (*graceful.Server, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return f.newServer(l, addr, h, connLimit, idleLimit), nil
}

// newServer returns a server of the connections of l. It bypasses the router, which would rewrite paths that must reach
// replicas unchanged.
func (f *Front) newServer(l net.Listener, addr netip.AddrPort, h http.Handler, connLimit int, idleLimit func() time.Duration) *graceful.Server {
	accepted := acceptor.New(acceptor.Options{Clock: f.opts.Clock, Log: f.opts.Log, Listener: l, MaxConns: connLimit, Memory: f.opts.Memory, HeaderTimeout: readHeaderTimeout})
	// Without the address kratos looks for one among the machine's network interfaces, which a process may not list.
	srv := khttp.NewServer(khttp.Listener(accepted), khttp.Address(addr.String()), khttp.Timeout(0), khttp.Filter(func(http.Handler) http.Handler { return panics.Filter(f.opts.Log, h) }))
	srv.ReadHeaderTimeout, srv.MaxHeaderBytes = readHeaderTimeout, acceptor.MaxHeaderBytes
	srv.IdleTimeout, srv.ConnState = defaultIdleTimeout, accepted.State
	srv.ErrorLog = log.New(serverLog{f.opts.Log, addr}, "", 0)
	if idleLimit != nil {
		closer := idle.New(idle.Options{Clock: f.opts.Clock, Limit: idleLimit, Close: accepted.CloseIdle})
		srv.IdleTimeout = 0
		srv.ConnState = func(c net.Conn, state http.ConnState) {
			accepted.State(c, state)
			closer.State(c, state)
		}
	}
	opts := graceful.Options{Clock: f.opts.Clock, Server: srv, Conns: accepted, Wait: f.drain.CanWrite}
	if idleLimit != nil {
		opts.KeepIdle = func() bool { return f.drain.Leaving() && f.drain.CanFinish(idleEnd) }
	}
	return graceful.New(opts)
}

// serverLog writes the messages of an HTTP server to the host's log.
type serverLog struct {
	log  logr.Logger
	addr netip.AddrPort
}

func (l serverLog) Write(p []byte) (int, error) {
	events.ServerFailed.Log(l.log, "listen", l.addr.String(), "reason", strings.TrimSpace(string(p)))
	return len(p), nil
}

// idleLimit returns how long an idle connection of a client is kept.
func (f *Front) idleLimit() time.Duration {
	if t := f.config.Load(); t != nil && t.Config().Limits.IdleTimeout > 0 {
		return t.Config().Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
