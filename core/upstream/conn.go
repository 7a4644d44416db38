package upstream

import (
	"errors"
	"net"
	"sync"
)

var errFenced = errors.New("the request was given up before it was sent")

// conn counts the bytes that leave on one connection, so that a try can tell truly whether any of its own did.
//
// net/http hands a request to a writing goroutine of the connection and may return from a cancelled request
// while that goroutine has yet to write. A count taken then says zero and the bytes leave afterwards. fence closes
// that gap: it decides under the lock of Write, and no write begins after it.
type conn struct {
	net.Conn

	mu      sync.Mutex
	sent    uint64
	writing bool
	fenced  bool
	guard   func() error
}

// begin marks the start of a request, whose first byte leaves only if guard allows it then.
func (c *conn) begin(guard func() error) (start uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
	return c.sent
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
