package acceptor

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/event"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/memory"
)

// maxLinesPerSecond limits the log lines about refused connections.
const maxLinesPerSecond = 1

// Options configures a Listener.
type Options struct {
	Clock    clock.Clock
	Log      logr.Logger
	Listener net.Listener
	// MaxConns is the maximum number of open connections; others are closed as soon as they are accepted.
	MaxConns int
	// Memory limits the memory of the requests' headers; nil means no limit.
	Memory *memory.Budget
	// HeaderTimeout is the server's limit for the time to receive a header; zero means none.
	HeaderTimeout time.Duration
}

// Listener accepts the connections of an HTTP server. State has to be the server's ConnState, or a part of it.
type Listener struct {
	net.Listener
	opts Options
	open atomic.Int64
	// closed is closed by Close, portClosed set by ClosePort.
	closed     chan struct{}
	closeOnce  sync.Once
	portClosed atomic.Bool
	// closing reports that each connection is to be closed once it is idle.
	closing atomic.Bool
	// mu guards conns, the open connections.
	mu    sync.Mutex
	conns map[*conn]bool
	// logLimit limits the log lines about refused connections.
	logLimit *event.Limit
}

// New returns a listener around Options.Listener.
func New(opts Options) *Listener {
	return &Listener{Listener: opts.Listener, opts: opts, closed: make(chan struct{}), conns: map[*conn]bool{}, logLimit: event.NewLimit(maxLinesPerSecond)}
}

// Accept returns the next connection within the limit. After ClosePort it waits for Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) && l.portClosed.Load() {
			<-l.closed
		}
		if err != nil {
			return nil, retried(err)
		}
		if l.open.Add(1) <= int64(l.opts.MaxConns) {
			return l.add(nc), nil
		}
		l.open.Add(-1)
		_ = nc.Close()
		l.logRefused()
	}
}

func (l *Listener) add(nc net.Conn) *conn {
	c := &conn{Conn: nc, listener: l, idle: true}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	if l.closing.Load() {
		c.closeIdle()
	}
	return c
}

func (l *Listener) remove(c *conn) {
	l.open.Add(-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// ClosePort has further clients refused. The server goes on to serve the open connections, which its Shutdown would not do.
func (l *Listener) ClosePort() {
	l.portClosed.Store(true)
	_ = l.Listener.Close()
}

// Close closes the port and ends Accept.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if l.portClosed.Load() {
		return nil
	}
	return l.Listener.Close()
}

// CloseAllIdle closes the idle connections, and each other one once it is idle.
func (l *Listener) CloseAllIdle() {
	l.closing.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIdle()
	}
}

func (l *Listener) logRefused() {
	if l.logLimit.Allow(l.opts.Clock.Now()) {
		events.ConnectionsExceeded.Log(l.opts.Log, "listen", l.Addr().String(), "limit", l.opts.MaxConns, "skipped", l.logLimit.Skipped())
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int { return int(l.open.Load()) }

// State records the state of a connection: the memory of a request is released once its connection waits for the next one.
func (l *Listener) State(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	switch {
	case !ok:
	case state == http.StateActive:
		c.requestBegan()
	case state == http.StateIdle:
		c.requestEnded()
	}
}

// CloseIdle closes a connection of the server, unless bytes of a request have been received on it. The server then handles
// the request.
func (l *Listener) CloseIdle(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		c.closeIdle()
	}
}
