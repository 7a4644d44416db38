package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
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

	silence *silence
	// cancel ends the request early; it is nil where the request waits for its own deadline.
	cancel context.CancelFunc
	// usual says that the request's time is typical of the replica's.
	usual bool
	// sent and overtaken belong to silence.
	sent      time.Time
	overtaken int
	silent    atomic.Bool
}

// trace returns req with the hook that tells the attempt its connection.
func (at *attempt) trace(req *http.Request) *http.Request {
	at.deadline, _ = req.Context().Deadline()
	hooks := &httptrace.ClientTrace{GotConn: at.gotConn, GotFirstResponseByte: at.answered}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), hooks))
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	at.conn = info.Conn.(*conn)
	at.start = at.conn.begin(at.inTime)
	at.silence.sent(at)
}

func (at *attempt) answered() { at.silence.answered(at, at.usual) }

// giveUpSilent marks the request as one on a silent connection, and ends it where it may be tried elsewhere.
func (at *attempt) giveUpSilent() {
	at.silent.Store(true)
	if at.cancel != nil {
		at.cancel()
	}
}

// end says that the request no longer uses its connection.
func (at *attempt) end() {
	at.silence.ended(at)
	if at.conn != nil {
		at.conn.end()
	}
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
