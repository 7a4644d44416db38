package upstream

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linger is how long a closed connection waits for the replica to close its side.
const linger = 250 * time.Millisecond

var errFenced = errors.New("the request was given up before it was sent")

// conn counts the bytes that leave on one connection, so that a try can tell truly whether any of its own did.
//
// net/http hands a request to a writing goroutine of the connection and may return from a cancelled request
// while that goroutine has yet to write. A count taken then says zero and the bytes leave afterwards. fence closes
// that gap: it decides under the lock of Write, and no write begins after it.
type conn struct {
	net.Conn
	seats  *seats
	opened time.Time

	// received is set once a byte came back, ended once the other side closed, closing once this side did.
	received, ended, closing atomic.Bool
	closeOnce                sync.Once

	mu      sync.Mutex
	sent    uint64
	writing bool
	fenced  bool
	guard   func() error
	// busy is set while a request uses the connection; heard is when it last received.
	busy  bool
	heard time.Time
}

// begin marks the start of a request, whose first byte leaves only if guard allows it then.
func (c *conn) begin(guard func() error) (start uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
	c.busy = true
	return c.sent
}

// end marks the connection as unused.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// idleSince reports whether the connection is unused and has received nothing since t.
func (c *conn) idleSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy && c.opened.Before(t) && c.heard.Before(t)
}

// fence forbids further writes and reports whether a byte may have left since start.
func (c *conn) fence(start uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced = true
	return c.writing || c.sent > start
}

// Write sends b, or nothing where the connection is fenced or the guard of the request refuses its first byte.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.enter(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.sent += uint64(n)
	return n, err
}

func (c *conn) enter() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenced {
		return errFenced
	}
	// A host that was paused between the decision to send and this line must not start the request late.
	if c.guard != nil {
		if err := c.guard(); err != nil {
			c.fenced = true
			return err
		}
		c.guard = nil
	}
	c.writing = true
	return nil
}

// Read reads from the connection; once it is closing, what still arrives belongs to nobody.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.mu.Lock()
		c.heard = c.seats.clock.Now()
		c.mu.Unlock()
	}
	if n > 0 && !c.received.Swap(true) {
		c.seats.answered()
	}
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// Close ends the sending side at once, which is how a replica learns of a cancel, and gives the seat back once the
// replica has closed its side too: until then it counts the connection against its limit.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.closing.Store(true)
		c.fence(0)
		// net/http may wait for its reading and writing goroutines, which a plain close would have woken.
		_ = c.SetDeadline(time.Unix(1, 0))
		go c.windUp()
	})
	return nil
}

func (c *conn) windUp() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !c.ended.Load() && tcp.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(linger))
		drain(c.Conn)
	}
	_ = c.Conn.Close()
	c.seats.release(c, c.ended.Load() && !c.received.Load())
}

// drain reads until the other side closes or the deadline of the connection passes.
func drain(c net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}
