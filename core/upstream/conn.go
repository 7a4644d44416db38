package upstream

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linger is how long a closed connection waits until the replica closes its side.
const linger = 250 * time.Millisecond

var errFenced = errors.New("the request was given up before it was sent")

// conn counts the bytes sent on one connection, so that an attempt knows for certain whether any of its bytes were
// sent.
//
// net/http passes a request to a writing goroutine of the connection and may return from a canceled request before
// that goroutine writes. The count is then still zero, and the bytes are sent afterwards. fence closes this race: it
// reads the count under the lock that Write takes, and no write begins after it.
type conn struct {
	net.Conn
	pool   *connPool
	opened time.Time

	// received is set after the first received byte, peerClosed after the other side closed the connection, closing after
	// this side did.
	received, peerClosed, closing atomic.Bool
	closeOnce                     sync.Once

	mu          sync.Mutex
	sent        uint64
	writing     bool
	fenced      bool
	closedIdle  bool
	beforeWrite func() error
	// busy is set while a request uses the connection, uses counts the requests, and lastReceived is the time of the last
	// received byte.
	busy         bool
	uses         uint64
	lastReceived time.Time
}

// begin marks the start of a request; its first byte is sent only if beforeWrite returns nil at that moment. It returns the
// number of bytes sent before the request, and the number of the request, which end takes.
func (c *conn) begin(beforeWrite func() error) (start, use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = beforeWrite
	c.busy = true
	c.uses++
	return c.sent, c.uses
}

// end marks the connection as unused, unless a later request uses it: net/http hands it on as soon as a reply has been read.
func (c *conn) end(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == use {
		c.busy = false
	}
}

// fenceIdle blocks all further writes if the connection is unused and has received nothing since t, and reports whether it
// did. A request that gets the connection before it is closed knows then that nothing was sent.
func (c *conn) fenceIdle(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || !c.opened.Before(t) || !c.lastReceived.Before(t) {
		return false
	}
	c.fenced, c.closedIdle = true, true
	return true
}

// wasClosedIdle reports whether the connection was closed as idle.
func (c *conn) wasClosedIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedIdle
}

// fence blocks all further writes and reports whether a byte may have been sent since start.
func (c *conn) fence(start uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced = true
	return c.writing || c.sent > start
}

// Write sends b, or nothing if the connection is fenced or beforeWrite returns an error before the first byte.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.sent += uint64(n)
	return n, err
}

func (c *conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenced {
		return errFenced
	}
	// A host that was paused after the decision to send must not start the request after its deadline.
	if c.beforeWrite != nil {
		if err := c.beforeWrite(); err != nil {
			c.fenced = true
			return err
		}
		c.beforeWrite = nil
	}
	c.writing = true
	return nil
}

// Read reads from the connection; once the connection is closing, received bytes are discarded.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.mu.Lock()
		c.lastReceived = c.pool.clock.Now()
		c.mu.Unlock()
	}
	if n > 0 && !c.received.Swap(true) {
		c.pool.resetBackoff()
	}
	if err != nil {
		c.peerClosed.Store(true)
	}
	return n, err
}

// Close shuts down the sending side at once, which signals a cancellation to the replica. The connection counts as
// open until the replica has closed its side too, because the replica counts it against its limit until then.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.closing.Store(true)
		c.fence(0)
		// net/http may wait for its reading and writing goroutines; the deadline unblocks them, as a plain close would.
		_ = c.SetDeadline(time.Unix(1, 0))
		go c.closeGracefully()
	})
	return nil
}

func (c *conn) closeGracefully() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !c.peerClosed.Load() && tcp.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(linger))
		drain(c.Conn)
	}
	_ = c.Conn.Close()
	c.pool.release(c, c.peerClosed.Load() && !c.received.Load())
}

// drain reads until the other side closes the connection or the read deadline passes.
func drain(c net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}
