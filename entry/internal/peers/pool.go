package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/memory"
)

const (
	// maxClients bounds the open connections of a pool to other hosts, unless more have calls in flight: neighbours, hosts
	// asked for indirect probes and the sources of repairs.
	maxClients  = 24
	callTimeout = 2 * time.Second
)

// ErrNotConnected means that no connection to a host could be opened, so that nothing of the call was sent.
var ErrNotConnected = errors.New("peers: no connection to the host")

// pool is a cache of net/rpc clients by address; it evicts the least recently used one without calls in flight.
type pool struct {
	clock clock.Clock
	t     *traffic
	dial  func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// budget limits the memory of the replies; nil means no limit.
	budget *memory.Budget

	mu      sync.Mutex
	clients map[netip.AddrPort]*client
}

type client struct {
	rpc      *rpc.Client
	conn     *countedConn
	lastUsed time.Time
	// calls is the number of calls in flight.
	calls int
}

func newPool(c clock.Clock, t *traffic, budget *memory.Budget, dial func(context.Context, netip.AddrPort) (net.Conn, error)) *pool {
	return &pool{clock: c, t: t, budget: budget, dial: dial, clients: map[netip.AddrPort]*client{}}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// call calls one method of Methods at addr.
func (p *pool) call(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method string, args, reply any) error {
	return p.invoke(ctx, addr, timeout, "Peers."+method, args, reply)
}

// invoke calls one method at addr. A call that fails or times out closes its connection: the connection may be silently
// broken while a new one would work, and a late reply can't be taken for that of a later call.
func (p *pool) invoke(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method string, args, reply any) error {
	return p.run(ctx, addr, callOptions{timeout: timeout}, method, args, reply)
}

// callOptions configures one call.
type callOptions struct {
	timeout time.Duration
	// keepConn leaves the connection open for its other calls when the caller's context ends before the timeout.
	keepConn bool
}

func (p *pool) run(caller context.Context, addr netip.AddrPort, opts callOptions, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(caller, opts.timeout)
	defer cancel()
	c, err := p.get(ctx, addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	defer p.release(c)
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var refused rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &refused) {
			p.drop(addr, c.rpc)
		}
		if call.Error != nil {
			return fmt.Errorf("peer %s: %s: %w", addr, method, call.Error)
		}
		return nil
	case <-ctx.Done():
		if !opts.keepConn || caller.Err() == nil {
			p.drop(addr, c.rpc)
		}
		return fmt.Errorf("peer %s: %s: %w", addr, method, ctx.Err())
	}
}

// get returns a client for one call, after which the caller releases it.
func (p *pool) get(ctx context.Context, addr netip.AddrPort) (*client, error) {
	if c := p.usable(addr); c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	p.t.dials.Add(1)
	nc, err := newCountedConn(conn, p.t, maxReply, p.budget)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	fresh := &client{rpc: rpc.NewClient(nc), conn: nc, lastUsed: p.clock.Now(), calls: 1}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[addr]; c != nil {
		// A concurrent call opened a connection meanwhile.
		_ = fresh.rpc.Close()
		c.calls++
		return c, nil
	}
	p.evictIfFull()
	p.clients[addr] = fresh
	return fresh, nil
}

func (p *pool) release(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
}

// usable returns the client of an open connection to addr, or nil. It closes a connection that the other host has
// closed as its least recently used: a call on it would fail although both hosts work, and net/rpc leaves this end
// open, which would hold a file descriptor until garbage collection.
func (p *pool) usable(addr netip.AddrPort) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		return nil
	}
	if c.conn.readFailed.Load() {
		_ = c.rpc.Close()
		delete(p.clients, addr)
		return nil
	}
	c.lastUsed = p.clock.Now()
	c.calls++
	return c
}

// evictIfFull makes room for a connection. If all have calls in flight, there is one more until a later call.
func (p *pool) evictIfFull() {
	for len(p.clients) >= maxClients {
		var oldest netip.AddrPort
		for addr, c := range p.clients {
			if c.calls == 0 && (!oldest.IsValid() || c.lastUsed.Before(p.clients[oldest].lastUsed)) {
				oldest = addr
			}
		}
		if !oldest.IsValid() {
			return
		}
		_ = p.clients[oldest].rpc.Close()
		delete(p.clients, oldest)
	}
}

func (p *pool) drop(addr netip.AddrPort, c *rpc.Client) {
	p.mu.Lock()
	if have := p.clients[addr]; have != nil && have.rpc == c {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	_ = c.Close()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		_ = c.rpc.Close()
		delete(p.clients, addr)
	}
}
