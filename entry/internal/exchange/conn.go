package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"guavaspring.org/core/opaque"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/memory"
)

const (
	readBufferBytes = 4 << 10
	// maxJoinedBytes is the maximum size of a body that is copied to be sent in one write with the header. All attempts of a
	// request share a larger body.
	maxJoinedBytes = 16 << 10
	// minFinalStatus is the lowest status of a final reply; lower ones are interim replies.
	minFinalStatus = 200
)

// conn is one connection to the replica. A single goroutine reads from it until it is closed.
type conn struct {
	netConn net.Conn
	pool    *Pool
	// number counts the connections opened to the replica, from 1.
	number uint64
	// lastUsed is the time of the last use, reusableUntil the time from which the connection may not be reused. The
	// pool's mutex guards both.
	lastUsed, reusableUntil time.Time

	mu      sync.Mutex
	pending *pendingCall
	// cutOff is set if the reply to pending was cut off, closed once the connection is closed.
	cutOff, closed bool
	// sent holds the ids of the connection's requests. Only expect adds to it, so it does not change while idle.
	sent sentIDs
	// headSent is set once a HEAD request was sent.
	headSent bool
}

// pendingCall is the call whose reply is expected next on the connection.
type pendingCall struct {
	done   chan Result
	id     string
	method string
	// nth is the number of the call on its connection, from 1.
	nth int
	// memory is the reservation of the reply.
	memory *memory.Reservation
}

// expect makes w the call whose reply is expected next. It reports false if the connection is closed.
func (c *conn) expect(w *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.sent.add(w.id)
	w.nth = len(c.sent)
	c.headSent = c.headSent || w.method == http.MethodHead
	c.pending = w
	return true
}

// roundTrip writes the request and waits for the reply or for the end of ctx.
func (c *conn) roundTrip(ctx context.Context, call *Call, w *pendingCall) Result {
	clk := c.pool.opts.Clock
	start := clk.Now()
	sent, err := c.writeRequest(call, start)
	if err != nil {
		c.close()
		kind := upstream.KindBroken
		if !sent {
			kind = upstream.KindNotSent
		}
		return Result{Kind: kind, Detail: err.Error(), Conn: c.number, Nth: w.nth, Took: clk.Now().Sub(start)}
	}
	var res Result
	select {
	case res = <-w.done:
	case <-ctx.Done():
		c.close()
		res = Result{Kind: upstream.KindCanceled, Detail: context.Cause(ctx).Error()}
	}
	res.Conn, res.Nth = c.number, w.nth
	res.Took = clk.Now().Sub(start)
	return res
}

// writeRequest writes the request and reports whether any byte of it may have been sent. The remaining time in the
// header is computed right before the write.
func (c *conn) writeRequest(call *Call, now time.Time) (bool, error) {
	if call.Guard != nil {
		if err := call.Guard(); err != nil {
			return false, err
		}
	}
	remaining := call.Deadline.Sub(now)
	if remaining <= 0 {
		return false, fmt.Errorf("the deadline passed before the first byte was sent")
	}
	joined, separate := call.Request.Body, []byte(nil)
	if len(joined) > maxJoinedBytes {
		joined, separate = nil, joined
	}
	b := c.pool.opts.Codec.AppendHead(make([]byte, 0, 512+len(joined)), call.Request, call.Replica, remaining)
	b = append(b, joined...)
	if err := c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false, err
	}
	n, err := c.netConn.Write(b)
	if err == nil && len(separate) > 0 {
		_, err = c.netConn.Write(separate)
	}
	if err != nil {
		return n > 0, fmt.Errorf("send: %w", err)
	}
	return true, nil
}

// readLoop reads replies until the connection is closed or its state is unknown.
func (c *conn) readLoop() {
	src := &replyReader{src: c.netConn}
	br := bufio.NewReaderSize(src, readBufferBytes)
	for {
		src.idle()
		_, err := br.Peek(1)
		c.mu.Lock()
		w := c.pending
		c.mu.Unlock()
		if w == nil {
			// The replica closed the connection, or sent bytes without a request in flight.
			c.close()
			return
		}
		if err != nil {
			c.close()
			w.done <- Result{Kind: upstream.KindBroken, Detail: "the connection broke: " + err.Error()}
			return
		}
		res, reuse := c.receive(src, br, w)
		reuse = reuse && br.Buffered() == 0 && c.release(res.Reply.IdleFor)
		if !reuse {
			c.close()
		}
		w.done <- res
		if !reuse {
			return
		}
	}
}

// cutReply closes the connection unless the reply to w has been received: the connection may carry another call then.
func (c *conn) cutReply(w *pendingCall) {
	if c.markCutOff(w) {
		c.close()
	}
}

// markCutOff keeps the connection from being released, and reports false if the reply to w has been received.
func (c *conn) markCutOff(w *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != w {
		return false
	}
	c.cutOff = true
	return true
}

// release returns the connection to the pool and reports whether it can be reused.
func (c *conn) release(idleFor time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.cutOff {
		return false
	}
	c.pending = nil
	return c.pool.putIdle(c, idleFor)
}

// receive reads the reply to w and reports whether the connection can be reused. It discards one late reply to an earlier
// request of the connection, which precedes the reply to w.
func (c *conn) receive(src *replyReader, br *bufio.Reader, w *pendingCall) (Result, bool) {
	res, reuse := c.readReply(src, br, w)
	if res.Kind != upstream.KindForeign {
		return res, reuse
	}
	if late := res.Reply.ID; reuse && c.canDiscard(late) {
		res, _ = c.readReply(src, br, w)
		res.LateID = late
	}
	return res, false
}

// canDiscard reports whether a reply is a late one to an earlier request with the id, and where it ends is certain: a reply
// to a HEAD request has no body, whatever its header says.
func (c *conn) canDiscard(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.headSent && c.sent.contains(id)
}

// readReply reads one reply and reports whether the connection can be reused.
func (c *conn) readReply(src *replyReader, br *bufio.Reader, w *pendingCall) (Result, bool) {
	resp, err := readFinalResponse(src, br, w)
	if err != nil {
		return Result{Kind: upstream.KindBroken, Detail: "the reply can't be read: " + err.Error()}, false
	}
	defer src.discard(resp.Body)
	head := c.pool.opts.Codec.Reply(resp)
	foreign := head.ID != w.id && (head.ID != "" || w.nth > 1)
	if foreign && resp.Close {
		// Nothing follows the reply, and its body may end only with the connection.
		return foreignReply(head), false
	}
	src.startBody()
	body, err := w.memory.ReadAll(resp.Body, bodyBytes(resp), MaxReplyBytes)
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return Result{Kind: upstream.KindError, Detail: fmt.Sprintf("the reply is over %d bytes", MaxReplyBytes)}, false
	case errors.Is(err, memory.ErrExceeded):
		return Result{Kind: upstream.KindError, Detail: err.Error()}, false
	case err != nil:
		return Result{Kind: upstream.KindBroken, Detail: "the reply broke off: " + err.Error()}, false
	case foreign:
		return foreignReply(head), true
	}
	return ownReply(resp, head, body), !resp.Close
}

// bodyBytes returns the announced size of a reply's body, negative if unknown. A reply to a HEAD request announces the size of
// a body that does not follow.
func bodyBytes(resp *http.Response) int64 {
	if resp.Body == http.NoBody {
		return 0
	}
	return resp.ContentLength
}

// ownReply returns the result of a call that received its own complete reply.
func ownReply(resp *http.Response, head opaque.Reply, body []byte) Result {
	res := Result{Reply: head, Status: resp.StatusCode, Header: resp.Header, Body: body}
	switch {
	case head.Misdirected:
		res.Kind, res.Detail = upstream.KindRefused, "another replica has the address"
	case head.NotRun:
		res.Kind, res.Detail = upstream.KindShed, "the replica did not run the request"
	case resp.StatusCode < 300 && head.Stamp != "" && resp.Header.Get("Content-Encoding") == "":
		res.Kind = upstream.KindOK
	default:
		res.Kind, res.Detail = upstream.KindError, fmt.Sprintf("status %d", resp.StatusCode)
	}
	return res
}

// foreignReply returns the result of a call that received the reply to another request.
func foreignReply(head opaque.Reply) Result {
	return Result{Kind: upstream.KindForeign, Detail: fmt.Sprintf("the reply belongs to request %q", head.ID), Reply: head}
}

// readFinalResponse skips interim (1xx) replies and reads the header of the final one. All of them together are bound by
// maxHeaderBytes.
func readFinalResponse(src *replyReader, br *bufio.Reader, w *pendingCall) (*http.Response, error) {
	if err := src.startHeader(br, w.memory); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: w.method})
		if err != nil || resp.StatusCode >= minFinalStatus {
			return resp, err
		}
		_ = resp.Body.Close()
	}
}

// close closes the connection, which also ends its reading goroutine.
func (c *conn) close() {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if alreadyClosed {
		return
	}
	c.pool.remove(c)
	_ = c.netConn.Close()
	c.pool.unreserve()
}
