package peers

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// idleTimeout is the time without received bytes after which a connection is closed. A neighbour sends every few
// seconds, so only abandoned or silently broken connections are closed.
const idleLimit = 2 * time.Minute

// traffic counts the bytes, without TCP and IP headers, and the operations of all connections with other hosts.
type traffic struct {
	in, out     atomic.Int64
	reads       atomic.Int64
	writes      atomic.Int64
	connections atomic.Int64
}

// Limits of the bytes read from a connection between two writes to it. Each request has one reply, so this bounds one
// message: gob itself accepts messages of up to 1 GB, by which a broken host could exhaust the process's memory. The
// largest request is a page of rows, the largest reply the replica list.
const (
	maxRequest = 1 << 20
	maxReply   = 16 << 20
)

var errTooLarge = errors.New("message from another host exceeds the size limit")

// countedConn counts the bytes of a connection and fails reads when it is idle for too long or a message is too large.
type counted struct {
	net.Conn
	t    *traffic
	most int64
	// pending counts the bytes read since the last write.
	pending atomic.Int64
	// lastUsed is the time of the last read or write, in nanoseconds of the monotonic clock since clockStart; ended is
	// set once a read has failed.
	used  atomic.Int64
	ended atomic.Bool
}

// clockStart is the zero point of lastUsed.
var began = time.Now()

// newCounted wraps a newly opened connection; most bounds the bytes of one message.
func newCounted(c net.Conn, t *traffic, most int64) *counted {
	n := &counted{Conn: c, t: t, most: most}
	n.touch()
	return n
}

func (c *counted) touch() { c.used.Store(int64(time.Since(began))) }

// Read counts the bytes received and extends the idle timeout.
func (c *counted) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleLimit)); err != nil {
		c.ended.Store(true)
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.touch()
	if err != nil {
		c.ended.Store(true)
	}
	c.t.in.Add(int64(n))
	c.t.reads.Add(1)
	if c.pending.Add(int64(n)) > c.most {
		return 0, fmt.Errorf("%w of %d bytes", errTooLarge, c.most)
	}
	return n, err
}

// Write counts the bytes sent; its deadline keeps a peer that reads nothing from blocking the writer.
func (c *counted) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
		return 0, err
	}
	c.pending.Store(0)
	n, err := c.Conn.Write(b)
	c.touch()
	c.t.out.Add(int64(n))
	c.t.writes.Add(1)
	return n, err
}
