package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"guavaspring.org/core/upstream"
)

const (
	readBuffer = 4 << 10
	// interim is the lowest status of a final reply; lower ones are interim replies.
	interim = 200
)

// conn is one connection to the replica. A single goroutine reads from it until it is closed.
type conn struct {
	tcp  net.Conn
	pool *Pool
	// since is the time of the last use, until the time from which the connection may not be reused. The pool's mutex
	// guards both.
	since, until time.Time

	mu      sync.Mutex
	waiting *waiting
	ended   bool
}

// waiting is the call whose reply is expected next on the connection.
type waiting struct {
	done   chan Result
	id     string
	method string
}

// begin makes w the call whose reply is expected next. It reports false if the connection is closed.
func (c *conn) begin(w *waiting) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.waiting = w
	return true
}

// run writes the request and waits for the reply or for the end of ctx.
func (c *conn) run(ctx context.Context, call *Call, w *waiting) Result {
	clk := c.pool.opts.Clock
	start := clk.Now()
	sent, err := c.send(call, start)
	if err != nil {
		c.close()
		kind := upstream.KindBroken
		if !sent {
			kind = upstream.KindNotSent
		}
		return Result{Kind: kind, Detail: err.Error(), Took: clk.Now().Sub(start)}
	}
	var res Result
	select {
	case res = <-w.done:
	case <-ctx.Done():
		c.close()
		res = Result{Kind: upstream.KindCanceled, Detail: context.Cause(ctx).Error()}
	}
	res.Took = clk.Now().Sub(start)
	return res
}

// send writes the request and reports whether any byte of it may have been sent. The remaining time in the header is
// computed right before the write.
func (c *conn) send(call *Call, now time.Time) (bool, error) {
	if call.Guard != nil {
		if err := call.Guard(); err != nil {
			return false, err
		}
	}
	left := call.Deadline.Sub(now)
	if left <= 0 {
		return false, fmt.Errorf("the deadline passed before the first byte was sent")
	}
	b := c.pool.opts.Codec.AppendHead(make([]byte, 0, 512+len(call.Request.Body)), call.Request, call.Replica, left)
	b = append(b, call.Request.Body...)
	if err := c.tcp.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false, err
	}
	n, err := c.tcp.Write(b)
	if err != nil {
		return n > 0, fmt.Errorf("send: %w", err)
	}
	return true, nil
}

// read reads replies until the connection is closed or its state is unknown.
func (c *conn) read() {
	br := bufio.NewReaderSize(c.tcp, readBuffer)
	for {
		_, err := br.Peek(1)
		c.mu.Lock()
		w := c.waiting
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
		res, reuse := c.reply(br, w)
		reuse = reuse && br.Buffered() == 0 && c.keep(res.Reply.IdleFor)
		if !reuse {
			c.close()
		}
		w.done <- res
		if !reuse {
			return
		}
	}
}

// keep returns the connection to the pool and reports whether it can be reused.
func (c *conn) keep(idleFor time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.waiting = nil
	return c.pool.put(c, idleFor)
}

// reply reads one reply and reports whether the connection can be reused.
func (c *conn) reply(br *bufio.Reader, w *waiting) (Result, bool) {
	resp, err := final(br, w.method)
	if err != nil {
		return Result{Kind: upstream.KindBroken, Detail: "the reply can't be read: " + err.Error()}, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReply+1))
	if err != nil {
		return Result{Kind: upstream.KindBroken, Detail: "the reply broke off: " + err.Error()}, false
	}
	if len(body) > MaxReply {
		return Result{Kind: upstream.KindError, Detail: fmt.Sprintf("the reply is over %d bytes", MaxReply)}, false
	}
	head := c.pool.opts.Codec.Reply(resp)
	if head.ID != "" && head.ID != w.id {
		// The replica sent a second reply to an earlier request, which precedes the reply to this one.
		return Result{Kind: upstream.KindForeign, Detail: "the reply belongs to request " + head.ID}, false
	}
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
	return res, !resp.Close
}

// final skips interim (1xx) replies and reads the header of the final one.
func final(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= interim {
			return resp, err
		}
		_ = resp.Body.Close()
	}
}

// close closes the connection, which also ends its reading goroutine.
func (c *conn) close() {
	c.mu.Lock()
	was := c.ended
	c.ended = true
	c.mu.Unlock()
	if was {
		return
	}
	c.pool.drop(c)
	_ = c.tcp.Close()
	c.pool.forget()
}
