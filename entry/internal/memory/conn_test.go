package memory_test

import (
	"bytes"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/replicatest"
)

// Guards against messages of the store that together take a host over its memory, and against connections that fail in the
// end since bytes stay counted.
func TestMessagesOnConnectionsStayWithinTheMemory(t *testing.T) {
	const limit = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(limit)
		l := replicatest.NewListener()
		defer func() { _ = l.Close() }()
		go func() {
			for {
				accepted, err := l.Accept()
				if err != nil {
					return
				}
				c := memory.NewConn(accepted, memory.ConnOptions{Budget: b, Peer: memory.Store, Factor: 4})
				go func() {
					defer func() { _ = c.Close() }()
					_, _ = io.Copy(io.Discard, c)
				}()
			}
		}()
		var senders sync.WaitGroup
		closed := make([]bool, 100)
		conns := make([]net.Conn, len(closed))
		for i := range conns {
			c, err := l.Dial()
			qt.Assert(t, err, qt.IsNil)
			conns[i] = c
			senders.Go(func() {
				// A message of 300 KB that is never answered.
				for n := 0; n < 300; n++ {
					if _, err := c.Write(make([]byte, kilobyte)); err != nil {
						closed[i] = true
						return
					}
					qt.Check(t, b.Held() <= limit, qt.IsTrue)
				}
			})
		}
		senders.Wait()
		open := 0
		for i, c := range conns {
			// A complete message may have had to make room for a later one.
			if _, err := c.Write([]byte{0}); err == nil && !closed[i] {
				open++
			}
			_ = c.Close()
		}
		qt.Check(t, open, qt.Equals, 1)
		synctest.Wait()
		qt.Check(t, b.Held(), qt.Equals, int64(0))
	})
}

// echo is an RPC service.
type echo struct{}

// Echo returns its argument.
func (echo) Echo(in []byte, out *[]byte) error {
	*out = in
	return nil
}

// Guards against bytes of answered messages that stay counted: connections are used for days.
func TestAnsweredMessagesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(megabyte)
		opts := memory.ConnOptions{Budget: b, Peer: memory.Store, Factor: 4}
		here, there := net.Pipe()
		srv := rpc.NewServer()
		qt.Assert(t, srv.RegisterName("Echo", echo{}), qt.IsNil)
		go srv.ServeConn(memory.NewConn(there, opts))
		c := rpc.NewClient(memory.NewConn(here, opts))
		message := bytes.Repeat([]byte("x"), 10*kilobyte)
		for range 500 {
			var reply []byte
			qt.Assert(t, c.Call("Echo.Echo", message, &reply), qt.IsNil)
			qt.Assert(t, reply, qt.HasLen, len(message))
			time.Sleep(time.Millisecond)
			// What was received last is counted until the next message is sent.
			qt.Assert(t, b.Held() <= 60*kilobyte, qt.IsTrue, qt.Commentf("%d bytes are held", b.Held()))
		}
		_ = c.Close()
		synctest.Wait()
		qt.Check(t, b.Held(), qt.Equals, int64(0))
	})
}
