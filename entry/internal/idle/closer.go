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
	// Limit returns how long a connection may be unused; it is asked each time one becomes unused.
	Limit func() time.Duration
}

// Closer watches the connections of a server.
//
// The limit belongs to the configuration, which changes while the server runs; the server's own is read at any time and
// can't be changed then. A connection that is closed sooner than clients are told loses the request that one sends just
// then.
type Closer struct {
	opts Options

	mu sync.Mutex
	// stops holds, for each unused connection, the function that keeps it open.
	stops map[net.Conn]func() bool
}

// New returns a closer that watches nothing yet.
func New(opts Options) *Closer {
	return &Closer{opts: opts, stops: map[net.Conn]func() bool{}}
}

// State takes in that a connection changed its state, as http.Server.ConnState tells it.
func (c *Closer) State(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop := c.stops[conn]; stop != nil {
		stop()
		delete(c.stops, conn)
	}
	if state == http.StateIdle {
		c.stops[conn] = c.opts.Clock.AfterFunc(c.opts.Limit(), func() { _ = conn.Close() })
	}
}
