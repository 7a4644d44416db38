package acceptor

import (
	"net"
	"sync"

	"guavaspring.org/entry/internal/memory"
)

// MaxHeaderBytes is the maximum size of a request's header. Package net/http adds 4 KB to it.
const MaxHeaderBytes = 64 << 10

// conn is a client's connection that reserves the memory of each request's header while it is received. Handlers reserve
// that of the body.
type conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once

	mu sync.Mutex
	// request is the reservation of the current request, nil if nothing of it has been received.
	request *memory.Reservation
	// received is the number of bytes of the request.
	received int
	// ended reports that the request has ended. What was received of the next one by then is in the server's buffer, and
	// stays reserved until that is empty.
	ended bool
	// closed reports that the connection is closed; a read may still return then.
	closed bool
}

// Read reserves what it receives. If that exceeds the memory, the server closes the connection without a response, so that
// the client may send the request to another host.
func (c *conn) Read(p []byte) (int, error) {
	c.releaseEnded()
	n, err := c.Conn.Read(p)
	if n > 0 {
		if exceeded := c.reserve(p[:n]); exceeded != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: exceeded}
		}
	}
	return n, err
}

// releaseEnded releases an ended request. The server reads only if its buffer is empty.
func (c *conn) releaseEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		c.request.Release()
		c.request, c.received, c.ended = nil, 0, false
	}
}

// reserve reserves the memory of what was received, as far as it may belong to a header.
func (c *conn) reserve(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.request == nil {
		var err error
		if c.request, err = c.listener.opts.Memory.Reserve(memory.Client); err != nil {
			return err
		}
	}
	header := p[:max(0, min(len(p), MaxHeaderBytes-c.received))]
	c.received += len(p)
	return c.request.Grow(memory.HeaderBytes(header))
}

func (c *conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// Close closes the connection and releases its request.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.listener.open.Add(-1)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.request.Release()
		c.closed = true
	})
	return err
}
