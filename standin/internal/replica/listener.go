package replica

import (
	"net"
	"sync"
	"time"
)

// limitListener closes every connection over the limit at once and delays the first byte of each accepted one.
type limitListener struct {
	net.Listener
	left chan struct{}
	cost time.Duration
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.left <- struct{}{}:
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.left }), ready: time.Now().Add(l.cost)}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
	ready   time.Time
}

// Read holds the first bytes back until the connection has been open for its cost.
func (c *limitedConn) Read(b []byte) (int, error) {
	if d := time.Until(c.ready); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
