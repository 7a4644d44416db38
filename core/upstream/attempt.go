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

var errDeadlinePassed = errors.New("the deadline passed before the first byte was sent")

// attempt tracks one request and the connection that carries it.
type attempt struct {
	clock    clock.Clock
	deadline time.Time
	body     []byte
	conn     *conn
	// start is the number of bytes sent on the connection before the request, use the number of the request on it.
	start, use uint64

	silence *silenceDetector
	// cancel ends the request early; nil if the request waits until its own deadline.
	cancel context.CancelFunc
	// countsLatency is set if the latency of the request counts toward the replica's average.
	countsLatency bool
	// sent and overtaken are owned by the silenceDetector and protected by its lock.
	sent      time.Time
	overtaken int
	silent    atomic.Bool
}

// trace returns req with hooks that record its connection and the first byte of its reply.
func (at *attempt) trace(req *http.Request) *http.Request {
	at.deadline, _ = req.Context().Deadline()
	hooks := &httptrace.ClientTrace{GotConn: at.gotConn, GotFirstResponseByte: at.gotFirstByte}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), hooks))
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	at.conn = info.Conn.(*conn)
	at.start, at.use = at.conn.begin(at.checkDeadline)
	at.silence.sent(at)
}

func (at *attempt) gotFirstByte() { at.silence.answered(at, at.countsLatency) }

// abandonSilent marks the connection of the request as silent and cancels the request if it can be retried elsewhere.
func (at *attempt) abandonSilent() {
	at.silent.Store(true)
	if at.cancel != nil {
		at.cancel()
	}
}

// end marks the connection as no longer used by the request.
func (at *attempt) end() {
	at.silence.ended(at)
	if at.conn != nil {
		at.conn.end(at.use)
	}
}

// restart prepares the request to be sent on another connection if its own was closed as idle before a byte was sent, and
// reports whether it was.
func (at *attempt) restart() bool {
	if at.conn == nil || !at.conn.wasClosedIdle() || at.giveUp() {
		return false
	}
	at.end()
	at.conn, at.start, at.use = nil, 0, 0
	at.silent.Store(false)
	return true
}

func (at *attempt) checkDeadline() error {
	if !at.deadline.IsZero() && !at.clock.Now().Before(at.deadline) {
		return errDeadlinePassed
	}
	return nil
}

// giveUp stops all writes on the attempt's connection and reports whether a byte of the request may have been sent.
func (at *attempt) giveUp() bool {
	return at.conn != nil && at.conn.fence(at.start)
}

// noRedirect is a transport that removes the Location header, because the HTTP client follows redirects by itself:
// it turns a 303 into a GET of any address that the reply names, and sends a 307 without a body a second time.
type noRedirect struct{ next http.RoundTripper }

// RoundTrip sends req once and removes the Location header of the response.
func (t noRedirect) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		resp.Header.Del("Location")
	}
	return resp, err
}
