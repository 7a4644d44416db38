package idle

import (
	"net"
	"net/http"
	"sync"
	"time"

	"guavaspring.org/core/clock"
)

// Options configures a Closer.
type Options struct {
	Clock clock.Clock
	// Limit returns the idle time-out. It is called each time a connection becomes idle.
	Limit func() time.Duration
	// Close closes a connection that has been idle for that time, unless a request has begun on it meanwhile; nil means
	// net.Conn.Close.
	Close func(conn net.Conn)
}

// Closer closes the idle connections of a server after a time-out.
//
// The time-out is part of the configuration, which changes while the server runs. http.Server.IdleTimeout can't be
// changed then without a race, since the server may read it at any time. A connection that is closed before the
// time-out that clients rely on loses a request sent at that moment.
type Closer struct {
	opts Options

	mu sync.Mutex
	// stopTimers holds, for each idle connection, the function that stops its timer.
	stopTimers map[net.Conn]func() bool
}

// New returns a closer without connections.
func New(opts Options) *Closer {
	if opts.Close == nil {
		opts.Close = func(conn net.Conn) { _ = conn.Close() }
	}
	return &Closer{opts: opts, stopTimers: map[net.Conn]func() bool{}}
}

// State records the new state of a connection; it is used as http.Server.ConnState.
func (c *Closer) State(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop := c.stopTimers[conn]; stop != nil {
		stop()
		delete(c.stopTimers, conn)
	}
	if state == http.StateIdle {
		c.stopTimers[conn] = c.opts.Clock.AfterFunc(c.opts.Limit(), func() { c.opts.Close(conn) })
	}
}
