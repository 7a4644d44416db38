package acceptor

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"guavaspring.org/entry/internal/memory"
)

// MaxHeaderBytes is the maximum size of a request's header. Package net/http adds 4 KB to it.
const MaxHeaderBytes = 64 << 10

// minHeaderBytes is the number of bytes of a further request from which package net/http limits the time for its header.
const minHeaderBytes = 4

const (
	// drainTimeout limits the time to receive what a client still sends behind the last answer.
	drainTimeout = 2 * time.Second
	// drainBytes is the size of the buffer for it.
	drainBytes = 4 << 10
)

// conn is a client's connection that reserves the memory of each request's header while it is received. Handlers reserve
// that of the body.
//
// A connection is idle until a byte of a request is received, and again once the request has been answered. CloseIdle and
// the receipt of a byte exclude each other, so that no request is handled on a connection that was closed as idle.
type conn struct {
	net.Conn
	listener *Listener
	// answered reports that bytes were sent since the current request began.
	answered atomic.Bool

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
	// bufferBytes is the size of the server's buffer. If less is free, it holds a part of the next request.
	bufferBytes int
	// idle reports that nothing of a request has been received, expired that the server's next read has to fail, so that it
	// closes the connection.
	idle, expired bool
	// readFailed reports that nothing more can be received.
	readFailed bool
	// draining reports that the connection is closed for writing, and closed once nothing more is received.
	draining bool
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
}

// Read reserves what it receives. If that exceeds the memory, the server closes the connection without a response, so that
// the client may send the request to another host.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead(len(p)) {
		return 0, c.readError(os.ErrDeadlineExceeded)
	}
	n, err := c.Conn.Read(p)
	c.recordError(err)
	if n > 0 {
		if exceeded := c.receive(p[:n]); exceeded != nil {
			return 0, c.readError(exceeded)
		}
	}
	return n, err
}

// recordError records that the client has closed the connection, or that it is broken.
func (c *conn) recordError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFailed = true
}

// Write sends a part of a response.
func (c *conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(p)
}

func (c *conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// beginRead releases an ended request: the server reads only if its buffer is empty, or holds a part of the next request. It
// reports false if the server has to close the connection. The size is that of the free part of the server's buffer.
func (c *conn) beginRead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		c.request.Release()
		c.request, c.received, c.ended = nil, 0, false
	}
	if c.bufferBytes == 0 {
		c.bufferBytes = size
	}
	if c.idle && size < c.bufferBytes {
		c.begin()
		c.limitHeader()
	}
	return !c.expired
}

// receive ends the idle time and reserves the memory of what was received, as far as it may belong to a header.
func (c *conn) receive(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.idle {
		c.begin()
		if len(p) < minHeaderBytes {
			c.limitHeader()
		}
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

// begin records that a request has begun, also if the connection was to be closed at this moment.
func (c *conn) begin() {
	c.idle = false
	c.answered.Store(false)
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// limitHeader limits the time to receive the header while the server does not: so few bytes may have been received that it
// still waits for a request.
func (c *conn) limitHeader() {
	if limit := c.listener.opts.HeaderTimeout; limit > 0 {
		c.readDeadline = time.Now().Add(limit)
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline sets the deadline of the server's reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired || c.draining {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// requestBegan records that the server has parsed a request.
func (c *conn) requestBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin()
}

// requestEnded records that the server waits for the next request.
func (c *conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.idle = true, true
	if c.listener.closing.Load() {
		c.expire()
	}
}

// closeIdle has the server close the connection if nothing of a request has been received.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
}

// pastDeadline ends a pending read.
var pastDeadline = time.Unix(1, 0)

func (c *conn) expire() {
	if c.idle && !c.closed {
		c.expired = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// Close closes the connection and releases its request. If it follows an answer, the client's side is closed first, or
// drainTimeout passes: the kernel resets a connection that is closed with unread bytes, or that receives more, and the client
// would lose the rest of the answer.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	if first {
		c.request.Release()
	}
	draining := c.draining || first && c.drain()
	c.mu.Unlock()
	if draining {
		return nil
	}
	return c.finish(first)
}

// CloseWrite ends the last response. Package net/http calls it if the client may still be sending the request.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining && !c.drain() {
		return errors.ErrUnsupported
	}
	return nil
}

// drain closes the connection for writing and starts to discard what is received. It reports false if the connection
// doesn't follow an answer or can't be closed so. The caller holds mu.
func (c *conn) drain() bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.idle || c.readFailed || !c.answered.Load() || half.CloseWrite() != nil {
		return false
	}
	c.draining = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTimeout))
	go c.discard()
	return true
}

func (c *conn) discard() {
	buf := make([]byte, drainBytes)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			break
		}
	}
	_ = c.finish(true)
}

// finish closes the connection; first reports whether it is open.
func (c *conn) finish(first bool) error {
	if first {
		defer c.listener.remove(c)
	}
	return c.Conn.Close()
}
