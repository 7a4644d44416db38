package peers

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"guavaspring.org/entry/internal/memory"
)

// idleTimeout is the time without received bytes after which a connection is closed. A neighbour sends every few
// seconds, so only abandoned or silently broken connections are closed.
const idleTimeout = 2 * time.Minute

// traffic counts the bytes, without TCP and IP headers, and the operations of all connections with other hosts.
type traffic struct {
	received, sent atomic.Int64
	reads          atomic.Int64
	writes         atomic.Int64
	dials          atomic.Int64
}

// Limits of the bytes read from a connection between two writes to it. Each request has one reply, so this bounds one
// message: gob itself accepts messages of up to 1 GB, by which a broken host could exhaust the process's memory. The
// largest request is a page of rows, the largest reply the replica list.
const (
	maxRequest = 1 << 20
	maxReply   = 16 << 20
)

var errTooLarge = errors.New("message from another host is too large")

// countedConn counts the bytes of a connection and fails reads when it is idle for too long or a message is too large.
type countedConn struct {
	net.Conn
	t        *traffic
	limit    int64
	received received
	// readSinceWrite is the number of bytes read since the last write.
	readSinceWrite atomic.Int64
	// lastUsed is the time of the last read or write, in nanoseconds of the monotonic clock since clockStart;
	// readFailed is set once a read has failed.
	lastUsed   atomic.Int64
	readFailed atomic.Bool
}

// clockStart is the zero point of lastUsed.
var clockStart = time.Now()

// newCountedConn wraps a newly opened connection, and closes it if the budget is exceeded; limit bounds the bytes of one
// message.
func newCountedConn(c net.Conn, t *traffic, limit int64, budget *memory.Budget) (*countedConn, error) {
	reserved, err := budget.Reserve(memory.Host)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	reserved.OnCut(func() { _ = c.Close() })
	n := &countedConn{Conn: c, t: t, limit: limit, received: received{maxLength: limit, reserved: reserved}}
	n.touch()
	return n, nil
}

// Close closes the connection and releases its messages.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.received.reserved.Release()
	return err
}

func (c *countedConn) touch() { c.lastUsed.Store(int64(time.Since(clockStart))) }

// Read counts the bytes received and extends the idle timeout.
func (c *countedConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		c.readFailed.Store(true)
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.touch()
	if err != nil {
		c.readFailed.Store(true)
	}
	c.t.received.Add(int64(n))
	c.t.reads.Add(1)
	exceeded := c.received.add(b[:n])
	if c.readSinceWrite.Add(int64(n)) > c.limit {
		exceeded = errTooLarge
	}
	if exceeded != nil {
		// The server closes the connection only once all calls on it have ended. Their memory stays reserved until then.
		_ = c.Conn.Close()
		return 0, exceeded
	}
	return n, err
}

// Write counts the bytes sent; its deadline keeps a peer that reads nothing from blocking the writer.
func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
		return 0, err
	}
	c.readSinceWrite.Store(0)
	c.received.written()
	n, err := c.Conn.Write(b)
	c.touch()
	c.t.sent.Add(int64(n))
	c.t.writes.Add(1)
	return n, err
}
