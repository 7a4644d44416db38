package upstream

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"time"

	"guavaspring.org/core/clock"
)

var errLate = errors.New("the deadline passed before the first byte was sent")

// attempt follows one request down to the connection that carries it.
type attempt struct {
	clock    clock.Clock
	deadline time.Time
	conn     *conn
	start    uint64
}

// trace returns req with the hook that tells the attempt its connection.
func (at *attempt) trace(req *http.Request) *http.Request {
	at.deadline, _ = req.Context().Deadline()
	hooks := &httptrace.ClientTrace{GotConn: at.gotConn}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), hooks))
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	at.conn = info.Conn.(*conn)
	at.start = at.conn.begin(at.inTime)
}

func (at *attempt) inTime() error {
	if !at.deadline.IsZero() && !at.clock.Now().Before(at.deadline) {
		return errLate
	}
	return nil
}

// giveUp ends the attempt's use of its connection and reports whether a byte of the request may have left.
func (at *attempt) giveUp() bool {
	return at.conn != nil && at.conn.fence(at.start)
}

// noRedirect is a transport that hides where a redirect points to, since the client would follow it by itself:
// a 303 becomes a GET at whatever address the reply names, and a 307 without a body is sent a second time.
type noRedirect struct{ next http.RoundTripper }

// RoundTrip sends req once.
func (t noRedirect) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		resp.Header.Del("Location")
	}
	return resp, err
}
