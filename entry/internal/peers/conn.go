package peers

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// idleLimit ends a connection on which nothing came for so long; a neighbour sends every few seconds, so only a
// forgotten or silent one is hit.
const idleLimit = 2 * time.Minute

// traffic counts the bytes of all connections to other hosts, without TCP and IP headers.
type traffic struct {
	in, out     atomic.Int64
	reads       atomic.Int64
	writes      atomic.Int64
	connections atomic.Int64
}

// The most bytes read from a connection between two writes to it. Each request is answered, and each reply was asked
// for, so this bounds one message: gob alone would take in a gigabyte that a broken host claims to send, and the
// process would end for want of memory. The largest request is a page of rows, the largest reply the replica list.
const (
	maxRequest = 1 << 20
	maxReply   = 16 << 20
)

var errTooLarge = errors.New("message from another host is too large")

// counted is a connection that counts its bytes and ends when it is idle too long or a message is too large.
type counted struct {
	net.Conn
	t    *traffic
	most int64
	// pending counts the bytes read since the last write.
	pending atomic.Int64
	// used is when bytes last came or went, in nanoseconds of the monotonic clock since began; ended says that no more
	// can be read.
	used  atomic.Int64
	ended atomic.Bool
}

// began is a fixed moment from which the use of connections is told.
var began = time.Now()

// newCounted returns a connection that has just been opened.
func newCounted(c net.Conn, t *traffic, most int64) *counted {
	n := &counted{Conn: c, t: t, most: most}
	n.touch()
	return n
}

func (c *counted) touch() { c.used.Store(int64(time.Since(began))) }

// Read counts what arrives and moves the idle limit on.
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
		return 0, errTooLarge
	}
	return n, err
}

// Write counts what is sent; a peer that reads nothing must not hold the writer for ever.
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
