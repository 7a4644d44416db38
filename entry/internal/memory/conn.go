package memory

import (
	"net"
	"sync"
)

// Conn is a connection on which both sides send messages in turn. It reserves a message from its first byte until the next
// write.
type Conn struct {
	net.Conn
	opts ConnOptions

	mu sync.Mutex
	// message is the reservation of what was received since the last write, nil if nothing was.
	message *Reservation
	closed  bool
}

// ConnOptions configures a Conn.
type ConnOptions struct {
	Budget *Budget
	Peer   Peer
	// Factor is the memory that a received byte takes until its message is handled, in bytes.
	Factor int64
}

// NewConn returns a connection that reads from c.
func NewConn(c net.Conn, opts ConnOptions) *Conn { return &Conn{Conn: c, opts: opts} }

// Read reserves what it receives, and fails if that exceeds the budget.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if exceeded := c.reserve(int64(n) * c.opts.Factor); exceeded != nil {
			return 0, exceeded
		}
	}
	return n, err
}

func (c *Conn) reserve(n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.message == nil {
		message, err := c.opts.Budget.Reserve(c.opts.Peer)
		if err != nil {
			return err
		}
		message.OnCut(func() { _ = c.Conn.Close() })
		c.message = message
	}
	return c.message.Grow(n)
}

// Write releases the message that was received before.
func (c *Conn) Write(p []byte) (int, error) {
	c.release(false)
	return c.Conn.Write(p)
}

// Close closes the connection and releases its message.
func (c *Conn) Close() error {
	c.release(true)
	return c.Conn.Close()
}

func (c *Conn) release(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.message.Release()
	c.message, c.closed = nil, c.closed || closed
}
