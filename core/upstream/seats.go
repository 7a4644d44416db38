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
	// idleLimit is how long a connection may lie idle and how long an unused replica keeps its seats warm. A connection
	// that something in between has forgotten is then silent for a bounded time only; dialling five anew each 30 s
	// costs a replica with 40 connections and 6 ms a dial 0.8% of a core.
	idleLimit = 30 * time.Second
	// firstBackOff and lastBackOff bound the wait after a replica refused a connection or closed one unused.
	firstBackOff = 20 * time.Millisecond
	lastBackOff  = 500 * time.Millisecond
	dialTimeout  = time.Second
)

var (
	errClosed  = errors.New("the client is closed")
	errBackOff = errors.New("the replica refuses connections; a new one is not tried yet")
)

// seats holds this host's share of one replica's connections, counted from dial to close.
//
// It answers many requests at once and storms of cancels. A new connection costs the replica some 6 ms before its first
// request is read, so connections are dialled ahead and lie ready; a request dials only if none is. A seat is free
// again once the replica has closed its side too: while it still winds up a cancelled request it counts the connection,
// and one more would be over its limit. A replica that closes a connection unused is over its limit or going down, and
// is left alone for a while instead of being dialled in a loop.
type seats struct {
	addr  string
	most  int
	clock clock.Clock
	// cold turns dialling ahead off, to measure what it brings.
	cold    bool
	silence *silence

	mu      sync.Mutex
	open    int
	conns   map[*conn]struct{}
	spares  []*conn
	changed chan struct{}
	filling bool
	closed  bool
	used    time.Time
	until   time.Time
	backOff time.Duration
	stats   SeatStats
}

// SeatStats counts what became of connections.
type SeatStats struct {
	// Ready counts requests for a connection that were met by one dialled ahead, Dialled those that had to dial or
	// wait.
	Ready, Dialled uint64
	// Refused counts connections that the replica refused or closed unused.
	Refused uint64
	// Silent counts requests found on a silent connection, Refreshed idle connections replaced on suspicion.
	Silent, Refreshed uint64
	// Open is how many connections are open now, and Peak the most that ever were at one replica.
	Open, Peak int
}

func newSeats(addr string, most int, clk clock.Clock, cold bool) *seats {
	s := &seats{addr: addr, most: most, clock: clk, cold: cold, changed: make(chan struct{}), conns: map[*conn]struct{}{}, used: clk.Now()}
	s.silence = newSilence(clk, s.refresh)
	return s
}

// take returns a connection dialled ahead, or dials one, or waits for a seat until ctx ends.
func (s *seats) take(ctx context.Context) (net.Conn, error) {
	for {
		s.mu.Lock()
		if c := s.spare(); c != nil {
			s.stats.Ready++
			s.mu.Unlock()
			return c, nil
		}
		if err := s.barred(); err != nil {
			s.mu.Unlock()
			return nil, err
		}
		if s.open < s.most {
			s.reserve()
			s.stats.Dialled++
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

// barred says why no connection may be dialled now; s.mu is held.
func (s *seats) barred() error {
	if s.closed {
		return errClosed
	}
	if s.clock.Now().Before(s.until) {
		return errBackOff
	}
	return nil
}

// spare returns the oldest connection dialled ahead that is still open; s.mu is held.
func (s *seats) spare() *conn {
	for len(s.spares) > 0 {
		c := s.spares[0]
		s.spares = s.spares[1:]
		if alive(c.Conn) {
			return c
		}
		c.ended.Store(true)
		go func() { _ = c.Close() }()
	}
	return nil
}

func (s *seats) reserve() {
	s.open++
	s.stats.Peak = max(s.stats.Peak, s.open)
}

// connect dials for a seat that was reserved.
func (s *seats) connect(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		s.release(nil, ctx.Err() == nil)
		return nil, fmt.Errorf("dial %s: %w", s.addr, err)
	}
	c := &conn{Conn: raw, seats: s, opened: s.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, nil
}

// refresh replaces the idle connections that were opened before since and have received nothing after it.
func (s *seats) refresh(since time.Time) {
	s.mu.Lock()
	var drop []*conn
	for c := range s.conns {
		if c.idleSince(since) {
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

// release frees the seat of c, nil where the dial failed; refused says that the replica did not want the connection.
func (s *seats) release(c *conn, refused bool) {
	s.mu.Lock()
	s.open--
	delete(s.conns, c)
	if refused {
		s.stats.Refused++
		s.backOff = min(max(firstBackOff, 2*s.backOff), lastBackOff)
		s.until = s.clock.Now().Add(s.backOff)
	}
	s.wake()
	s.mu.Unlock()
	s.fill()
}

// answered ends the wait after refusals: the replica serves its connections.
func (s *seats) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backOff, s.until = 0, time.Time{}
}

// wake tells those who wait for a seat to look again; s.mu is held.
func (s *seats) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// touch notes that the replica is in use and keeps its seats warm.
func (s *seats) touch() {
	now := s.clock.Now()
	s.mu.Lock()
	idle := now.Sub(s.used) > time.Second
	s.used = now
	s.mu.Unlock()
	if idle {
		s.fill()
	}
}

// fill dials the seats that are free, one after another and apart from any request.
func (s *seats) fill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.filling || s.cold || s.closed {
		return
	}
	s.filling = true
	go s.dialAhead()
}

func (s *seats) dialAhead() {
	for {
		wait, more := s.next()
		if !more {
			return
		}
		if wait > 0 {
			<-s.clock.After(wait)
			continue
		}
		c, err := s.connect(context.Background())
		if err == nil && !s.keep(c) {
			_ = c.Close()
		}
	}
}

// keep lays a connection ready, unless the seats were closed while it was dialled.
func (s *seats) keep(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.spares = append(s.spares, c)
	s.wake()
	return true
}

// next reserves a seat to be dialled, or says how long to wait, or that nothing is left to do.
func (s *seats) next() (wait time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.closed || s.open >= s.most || now.Sub(s.used) > idleLimit {
		s.filling = false
		return 0, false
	}
	if wait := s.until.Sub(now); wait > 0 {
		return wait, true
	}
	s.reserve()
	return 0, true
}

// renew closes the connections dialled ahead that are dead or older than idleLimit, and all of them where the replica
// is unused.
func (s *seats) renew() (unused bool) {
	s.mu.Lock()
	now := s.clock.Now()
	unused = now.Sub(s.used) > idleLimit
	var keep, drop []*conn
	for _, c := range s.spares {
		if unused || now.Sub(c.opened) > idleLimit || !alive(c.Conn) {
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

// setMost changes the number of seats; connections dialled ahead that are too many by it are closed at once.
func (s *seats) setMost(most int) {
	s.mu.Lock()
	s.most = most
	n := min(max(0, s.open-most), len(s.spares))
	drop := slices.Clone(s.spares[:n])
	s.spares = s.spares[n:]
	s.wake()
	s.mu.Unlock()
	for _, c := range drop {
		_ = c.Close()
	}
	s.fill()
}

func (s *seats) close() {
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
