package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// maxIdle is how long a connection may be idle, and how long connections to an unused replica are kept open. It
	// limits how long a connection that a middlebox has forgotten stays undetected. Redialing five connections every
	// 30 s costs a replica with 40 connections and 6 ms per dial 0.8% of a core.
	maxIdle = 30 * time.Second
	// minBackoff and maxBackoff limit the backoff after a replica refused a connection or closed an unused one.
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
	dialTimeout = time.Second
)

var (
	errClosed  = errors.New("the client is closed")
	errBackoff = errors.New("the replica refuses connections; a new one is not tried yet")
)

// connPool holds the connections to one replica. It limits the number of open ones, counted from dial to close.
//
// It is built for many concurrent requests and frequent cancellations. A new connection costs the replica about 6 ms
// before it reads the first request, so connections are dialed in advance; a request dials only if no spare one is
// left. A closed connection counts as open until the replica has closed its side too: the replica counts it against
// its limit while it finishes a canceled request, and one more connection would exceed the limit. A replica that closes
// an unused connection is over its limit or shutting down; it is dialed again after a backoff instead of in a loop.
type connPool struct {
	addr      string
	connLimit int
	clock     clock.Clock
	// dialOnDemand turns off dialing in advance, for comparison in the benchmark.
	dialOnDemand bool
	silence      *silenceDetector

	mu           sync.Mutex
	open         int
	conns        map[*conn]struct{}
	spares       []*conn
	changed      chan struct{}
	filling      bool
	closed       bool
	lastUsed     time.Time
	backoffUntil time.Time
	backoff      time.Duration
	stats        PoolStats
}

// PoolStats holds counters of connections.
type PoolStats struct {
	// Ready counts requests that took a connection dialed in advance, Dialed those that had to dial one themselves.
	Ready, Dialed uint64
	// Refused counts connections that the replica refused, or closed before they were used.
	Refused uint64
	// Silent counts requests on connections that were found silent, Refreshed idle connections that were replaced as
	// possibly silent.
	Silent, Refreshed uint64
	// Open is the current number of open connections, Peak the highest number that one replica had.
	Open, Peak int
}

func newConnPool(addr string, connLimit int, clk clock.Clock, dialOnDemand bool) *connPool {
	s := &connPool{addr: addr, connLimit: connLimit, clock: clk, dialOnDemand: dialOnDemand, changed: make(chan struct{}), conns: map[*conn]struct{}{}, lastUsed: clk.Now()}
	s.silence = newSilenceDetector(clk, s.closeIdleSince)
	return s
}

// get returns a connection dialed in advance, or dials one, or waits for either until ctx ends.
func (s *connPool) get(ctx context.Context) (net.Conn, error) {
	for {
		s.mu.Lock()
		if c := s.popSpare(); c != nil {
			s.stats.Ready++
			s.mu.Unlock()
			return c, nil
		}
		if err := s.checkDial(); err != nil {
			s.mu.Unlock()
			return nil, err
		}
		if s.open < s.connLimit {
			s.reserve()
			s.stats.Dialed++
			s.mu.Unlock()
			s.fill()
			return s.connect(ctx)
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for a seat at %s: %w", s.addr, ctx.Err())
		}
	}
}

// checkDial returns an error if no connection may be dialed now; s.mu is held.
func (s *connPool) checkDial() error {
	if s.closed {
		return errClosed
	}
	if s.clock.Now().Before(s.backoffUntil) {
		return errBackoff
	}
	return nil
}

// popSpare returns the oldest connection dialed in advance that is still open, or nil; s.mu is held.
func (s *connPool) popSpare() *conn {
	for len(s.spares) > 0 {
		c := s.spares[0]
		s.spares = s.spares[1:]
		if alive(c.Conn) {
			return c
		}
		c.peerClosed.Store(true)
		go func() { _ = c.Close() }()
	}
	return nil
}

func (s *connPool) reserve() {
	s.open++
	s.stats.Peak = max(s.stats.Peak, s.open)
}

// connect dials a connection whose place was reserved before.
func (s *connPool) connect(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		s.release(nil, ctx.Err() == nil)
		return nil, fmt.Errorf("dial %s: %w", s.addr, err)
	}
	c := &conn{Conn: raw, pool: s, opened: s.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, nil
}

// closeIdleSince closes the idle connections that were opened before since and have received nothing after it.
func (s *connPool) closeIdleSince(since time.Time) {
	s.mu.Lock()
	var drop []*conn
	for c := range s.conns {
		if c.fenceIdle(since) {
			drop = append(drop, c)
		}
	}
	s.spares = slices.DeleteFunc(s.spares, func(c *conn) bool { return slices.Contains(drop, c) })
	s.stats.Refreshed += uint64(len(drop))
	s.mu.Unlock()
	for _, c := range drop {
		_ = c.Close()
	}
}

// release frees the place of c, which is nil if the dial failed. If the replica refused the connection, refused is set
// and the backoff grows.
func (s *connPool) release(c *conn, refused bool) {
	s.mu.Lock()
	s.open--
	delete(s.conns, c)
	if refused {
		s.stats.Refused++
		s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
		s.backoffUntil = s.clock.Now().Add(s.backoff)
	}
	s.notifyWaiters()
	s.mu.Unlock()
	s.fill()
}

// resetBackoff ends the backoff after the replica has sent a byte on a connection.
func (s *connPool) resetBackoff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff, s.backoffUntil = 0, time.Time{}
}

// notifyWaiters wakes all requests that wait for a connection; s.mu is held.
func (s *connPool) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// touch marks the replica as in use and fills the pool again after a second without use.
func (s *connPool) touch() {
	now := s.clock.Now()
	s.mu.Lock()
	idle := now.Sub(s.lastUsed) > time.Second
	s.lastUsed = now
	s.mu.Unlock()
	if idle {
		s.fill()
	}
}

// fill starts a goroutine that dials connections up to the limit, one after another.
func (s *connPool) fill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.filling || s.dialOnDemand || s.closed {
		return
	}
	s.filling = true
	go s.dialAhead()
}

func (s *connPool) dialAhead() {
	for {
		wait, more := s.reserveNext()
		if !more {
			return
		}
		if wait > 0 {
			<-s.clock.After(wait)
			continue
		}
		c, err := s.connect(context.Background())
		if err == nil && !s.addSpare(c) {
			_ = c.Close()
		}
	}
}

// addSpare adds a connection to the spare ones, unless the pool was closed while it was dialed.
func (s *connPool) addSpare(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.spares = append(s.spares, c)
	s.notifyWaiters()
	return true
}

// reserveNext reserves a place for a connection to dial (wait is 0), or returns the time to wait before another call,
// or reports that there is nothing more to dial.
func (s *connPool) reserveNext() (wait time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.closed || s.open >= s.connLimit || now.Sub(s.lastUsed) > maxIdle {
		s.filling = false
		return 0, false
	}
	if wait := s.backoffUntil.Sub(now); wait > 0 {
		return wait, true
	}
	s.reserve()
	return 0, true
}

// closeExpired closes the spare connections that are dead or older than maxIdle, and all of them if the replica is
// unused.
func (s *connPool) closeExpired() (unused bool) {
	s.mu.Lock()
	now := s.clock.Now()
	unused = now.Sub(s.lastUsed) > maxIdle
	var keep, drop []*conn
	for _, c := range s.spares {
		if unused || now.Sub(c.opened) > maxIdle || !alive(c.Conn) {
			drop = append(drop, c)
			continue
		}
		keep = append(keep, c)
	}
	s.spares = keep
	s.mu.Unlock()
	for _, c := range drop {
		_ = c.Close()
	}
	return unused
}

// setConnLimit changes the maximum number of connections; spare connections above it are closed at once.
func (s *connPool) setConnLimit(connLimit int) {
	s.mu.Lock()
	s.connLimit = connLimit
	n := min(max(0, s.open-connLimit), len(s.spares))
	drop := slices.Clone(s.spares[:n])
	s.spares = s.spares[n:]
	s.notifyWaiters()
	s.mu.Unlock()
	for _, c := range drop {
		_ = c.Close()
	}
	s.fill()
}

func (s *connPool) close() {
	s.mu.Lock()
	s.closed = true
	spares := s.spares
	s.spares = nil
	s.mu.Unlock()
	for _, c := range spares {
		_ = c.Close()
	}
}

// alive reports whether the other side has neither closed the idle connection nor sent anything on it.
func alive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var got error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(got, syscall.EAGAIN)
}
