package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// None is an option for libraries that register for signals: it can't be caught, so that they receive none. An empty list
// would mean all signals, also those that the Go runtime sends to itself.
const None = syscall.SIGKILL

// Register receives the signals to stop and to reload from now on. It returns a context that ends with the first signal to
// stop and a channel that receives signals to reload, of which one is kept until it is received.
//
// It has to be called once, before anything else: the default action of each of these signals ends the process with all
// requests that it has read. The signals are received until the process exits, so that none ends it while it stops.
func Register() (stop context.Context, reload <-chan os.Signal) {
	// The function that is discarded would restore the default actions.
	stop, _ = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// Otherwise the Go runtime ends the process if it writes to a log whose reader is gone.
	signal.Ignore(syscall.SIGPIPE)
	return stop, hup
}

// StopAt returns a context that ends with ctx or with the first signal of reload, for a host that has nothing to reload.
func StopAt(ctx context.Context, reload <-chan os.Signal) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-reload:
		case <-ctx.Done():
		}
	}()
	return ctx
}
