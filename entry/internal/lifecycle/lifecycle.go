package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"

	"guavaspring.org/entry/internal/signals"
)

// Server is a server whose address is known before it starts, as kratos' HTTP server.
type Server interface {
	transport.Server
	transport.Endpointer
}

// Options configures Run.
type Options struct {
	Servers []Server
	// Leave returns once the servers may close their ports.
	Leave func(ctx context.Context) error
	// Finish is the time in which the servers complete their requests in flight after that.
	Finish time.Duration
	// Failed is called with the error of a server that stops accepting connections by itself.
	Failed func(err error)
}

// Run runs the servers until stop ends or one of them fails, then has the host leave, and returns once all requests are
// completed. The context of the requests is ctx. The error is that of the first server that failed.
//
// kratos would stop all servers at once if one of them fails, as callers still come.
func Run(ctx, stop context.Context, opts Options) error {
	var app *kratos.App
	leave := sync.OnceFunc(func() { _ = app.Stop() })
	list := make([]transport.Server, len(opts.Servers))
	for i, srv := range opts.Servers {
		list[i] = &drained{Server: srv, failed: func(err error) {
			opts.Failed(err)
			leave()
		}}
	}
	app = kratos.New(kratos.Context(ctx), kratos.Name("entry"), kratos.Signal(signals.None), kratos.Server(list...),
		kratos.BeforeStop(opts.Leave), kratos.StopTimeout(opts.Finish))
	release := context.AfterFunc(stop, leave)
	defer release()
	return app.Run()
}

// drained is a server whose failure has the host leave before the others stop.
type drained struct {
	Server
	failed func(err error)
}

// Start serves until the server is stopped.
func (s *drained) Start(ctx context.Context) error {
	err := s.Server.Start(ctx)
	if err != nil {
		s.failed(err)
	}
	return err
}
