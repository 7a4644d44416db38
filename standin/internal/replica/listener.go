package replica

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// replicaListener is the listener of a replica. It limits the number of connections, delays new ones by cost, and can
// simulate a crash or silent connections.
type replicaListener struct {
	addr netip.AddrPort
	cost time.Duration
	max  int

	mu      sync.Mutex
	inner   net.Listener
	conns   map[*conn]struct{}
	reopen  time.Time
	closed  bool
	peak    int
	refused int
	opened  int
}

func newReplicaListener(addr netip.AddrPort, cost time.Duration, most int) (*replicaListener, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	bound := l.Addr().(*net.TCPAddr).AddrPort()
	return &replicaListener{addr: bound, cost: cost, max: most, inner: l, conns: map[*conn]struct{}{}}, nil
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", addr, err)
	}
	return l, nil
}

// Accept returns the next connection within the limit. During a crash it waits for the port to open again.
func (g *replicaListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		inner, reopen, closed := g.inner, g.reopen, g.closed
		g.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			g.reopenPort(reopen)
			continue
		}
		raw, err := inner.Accept()
		if err != nil {
			if g.crashed() {
				continue
			}
			return nil, err
		}
		if c := g.admit(raw); c != nil {
			return c, nil
		}
	}
}

func (g *replicaListener) crashed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner == nil && !g.closed
}

func (g *replicaListener) reopenPort(at time.Time) {
	time.Sleep(time.Until(at))
	l, err := listen(g.addr)
	if err != nil {
		// Connections in the course of closing may still hold the port for a moment.
		time.Sleep(10 * time.Millisecond)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = l.Close()
		return
	}
	g.inner = l
}

func (g *replicaListener) admit(raw net.Conn) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.max || g.inner == nil {
		g.refused++
		_ = raw.Close()
		return nil
	}
	c := &conn{Conn: raw, gate: g, ready: time.Now().Add(g.cost)}
	g.conns[c] = struct{}{}
	g.opened++
	g.peak = max(g.peak, len(g.conns))
	return c
}

// Close closes the port permanently.
func (g *replicaListener) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.inner == nil {
		return nil
	}
	return g.inner.Close()
}

// Addr returns the address of the port.
func (g *replicaListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(g.addr) }

// crash resets every connection and closes the port until at.
func (g *replicaListener) crash(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inner == nil {
		return
	}
	_ = g.inner.Close()
	g.inner, g.reopen = nil, at
	for c := range g.conns {
		c.reset()
	}
	clear(g.conns)
}

// silence drops all further replies on the open connections; new connections work.
func (g *replicaListener) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(true)
	}
}

func (g *replicaListener) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

type connCounts struct {
	Open    int `json:"open"`
	Peak    int `json:"peak"`
	Refused int `json:"refused"`
	Opened  int `json:"opened"`
}

func (g *replicaListener) counts() connCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return connCounts{Open: len(g.conns), Peak: g.peak, Refused: g.refused, Opened: g.opened}
}

type conn struct {
	net.Conn
	gate   *replicaListener
	ready  time.Time
	silent atomic.Bool
}

// Read delays the first bytes until the connection has been open for the listener's cost. On a silent connection it
// discards all bytes.
func (c *conn) Read(b []byte) (int, error) {
	if d := time.Until(c.ready); d > 0 {
		time.Sleep(d)
	}
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards the bytes on a silent connection and reports success, as if a middlebox dropped the packets.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection, which no longer counts against the limit.
func (c *conn) Close() error {
	c.gate.remove(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, so that the peer sees an error instead of a regular end.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
