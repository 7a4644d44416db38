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

// gate is the port of a replica: it limits connections, makes a new one cost time, and can crash or fall silent.
type gate struct {
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

func openGate(addr netip.AddrPort, cost time.Duration, most int) (*gate, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	bound := l.Addr().(*net.TCPAddr).AddrPort()
	return &gate{addr: bound, cost: cost, max: most, inner: l, conns: map[*conn]struct{}{}}, nil
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", addr, err)
	}
	return l, nil
}

// Accept returns the next connection within the limit; it outlives the crash of the port.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		inner, reopen, closed := g.inner, g.reopen, g.closed
		g.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			g.comeBack(reopen)
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

func (g *gate) crashed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner == nil && !g.closed
}

func (g *gate) comeBack(at time.Time) {
	time.Sleep(time.Until(at))
	l, err := listen(g.addr)
	if err != nil {
		// The port may still be held for a moment by connections that are being torn down.
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

func (g *gate) admit(raw net.Conn) net.Conn {
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

// Close closes the port for good.
func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.inner == nil {
		return nil
	}
	return g.inner.Close()
}

// Addr returns the address of the port.
func (g *gate) Addr() net.Addr { return net.TCPAddrFromAddrPort(g.addr) }

// crash breaks every connection and refuses new ones until at.
func (g *gate) crash(at time.Time) {
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

// silence lets no connection that is open now answer any more; new ones work.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(true)
	}
}

func (g *gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

type gateCounts struct {
	Open    int `json:"open"`
	Peak    int `json:"peak"`
	Refused int `json:"refused"`
	Opened  int `json:"opened"`
}

func (g *gate) counts() gateCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateCounts{Open: len(g.conns), Peak: g.peak, Refused: g.refused, Opened: g.opened}
}

type conn struct {
	net.Conn
	gate   *gate
	ready  time.Time
	silent atomic.Bool
}

// Read holds the first bytes back until the connection has been open for its cost; a silent one reads and forgets.
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

// Write pretends to succeed on a silent connection, as a middlebox that lost track of it would have it.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close frees the connection's place under the limit.
func (c *conn) Close() error {
	c.gate.remove(c)
	return c.Conn.Close()
}

// reset closes the connection so that the other end sees it broken rather than ended.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
