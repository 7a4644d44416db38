package idle_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/idle"
)

// Guards against closing a connection before the time-out, also after the time-out is raised to two minutes: a request
// after four fifths of it must find the connection open. A connection that is not used again must be closed.
func TestIdleConnectionsAreClosedAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 15 * time.Second
		c := idle.New(idle.Options{Clock: clock.System{}, Limit: func() time.Duration { return limit }})
		conn, client := net.Pipe()
		defer client.Close()
		closed := make(chan struct{})
		go func() {
			_, _ = client.Read(make([]byte, 1))
			close(closed)
		}()
		open := func() bool {
			synctest.Wait()
			select {
			case <-closed:
				return false
			default:
				return true
			}
		}
		c.State(conn, http.StateNew)
		time.Sleep(time.Minute)
		qt.Assert(t, open(), qt.IsTrue)
		for _, limit = range []time.Duration{15 * time.Second, 2 * time.Minute} {
			c.State(conn, http.StateActive)
			c.State(conn, http.StateIdle)
			time.Sleep(limit * 4 / 5)
			qt.Assert(t, open(), qt.IsTrue)
		}
		c.State(conn, http.StateActive)
		time.Sleep(time.Hour)
		qt.Assert(t, open(), qt.IsTrue)
		c.State(conn, http.StateIdle)
		time.Sleep(limit)
		qt.Assert(t, open(), qt.IsFalse)
		c.State(conn, http.StateClosed)
	})
}
