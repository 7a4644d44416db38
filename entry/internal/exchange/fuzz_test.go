package exchange_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/platform/platformtest"
	"guavaspring.org/platform/wire"
)

// Guards against bytes that pass for the reply to a request without naming it: whatever a replica sends on a connection
// that has carried another request, only a reply with the id of the request under way says how it ended.
func FuzzReplyOnReusedConnection(f *testing.F) {
	own := platformtest.Reply(200, "second", "s", []byte("own"))
	late := platformtest.Reply(200, "first", "s", []byte("late"))
	for _, seed := range [][]byte{
		own, late, bytes.Join([][]byte{late, own}, nil), bytes.Join([][]byte{late, late, own}, nil), own[:len(own)-1],
		platformtest.NotRun("first"), platformtest.NotRun("second"), platformtest.NotRun(""), platformtest.Misdirected(""),
		platformtest.Unframed("first", "s", own), platformtest.Reply(200, "first", "s", own), []byte("HTTP/1.1 100 Continue\r\n\r\n"), nil,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		farm := replicatest.New()
		defer farm.Close()
		r := farm.Add("a", 1, func(req *http.Request, _ []byte) replicatest.Answer {
			if platformtest.ReadRequestHeader(req).ID == "first" {
				return replicatest.Answer{Raw: platformtest.Reply(200, "first", "s", nil)}
			}
			return replicatest.Answer{Raw: raw, Close: true}
		})
		p := newPool(farm, r)
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if res := p.Do(ctx, call("first")); res.Kind != upstream.KindOK {
			t.Fatalf("the first reply is %s: %s", res.Kind, res.Detail)
		}
		res := p.Do(ctx, call("second"))
		if ctx.Err() != nil {
			t.Fatalf("no result for %q", raw)
		}
		if decisive := res.Whole() || res.Kind.NotRun(); decisive && !bytes.Contains(raw, []byte("second")) {
			t.Fatalf("%q is taken for the reply: %s", raw, res.Kind)
		}
	})
}

// Guards against bytes by which a replica makes a host hold more memory than its budget, or that stay counted once the call
// has ended: whatever is sent, followed by something that is repeated.
func FuzzReplyStaysWithinTheMemory(f *testing.F) {
	start := platformtest.ReplyStart("one", "s")
	for _, seed := range [][2]string{
		{"", "x"}, {"HTTP/1.1 200 OK\r\n", "X-Y: z\r\n"}, {start + "X: ", " y\r\n"}, {"", "HTTP/1.1 100 Continue\r\n\r\n"}, {"", "HTTP/1.1 100 C\nX:\n\n"},
		{start + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}, {start + "Transfer-Encoding: chunked\r\n\r\n", "1;x\r\nx\r\n"},
		{start + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Y: z\r\n"}, {start + "Content-Length: 900000\r\n\r\n", "x"}, {start + "\r\n", "x"},
		{start + "Content-Length: 2\r\n\r\nok", "x"}, {start + "Connection: close\r\n\r\n", "x"}, {start + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n", ""},
	} {
		f.Add([]byte(seed[0]), []byte(seed[1]))
	}
	const limit, most = 256 << 10, 1 << 20
	f.Fuzz(func(t *testing.T, start, repeat []byte) {
		farm := replicatest.New()
		defer farm.Close()
		r := farm.Add("a", 1, func(*http.Request, []byte) replicatest.Answer {
			return replicatest.Answer{Raw: append(bytes.Clone(start), bytes.Repeat(repeat, most/max(1, len(repeat)))...), Close: true}
		})
		budget := memory.New(memory.Options{Clock: clock.System{}, Log: logr.Discard(), Limit: limit})
		codec := wire.Codec()
		p := exchange.New(exchange.Options{Clock: clock.System{}, Addr: r.Row.Addr, Codec: &codec, Dial: farm.Dial, Memory: budget, Opened: func(c net.Conn) net.Conn {
			return checkedConn{Conn: c, check: func() {
				if held := budget.Held(); held > limit {
					t.Errorf("%d bytes are held for %q and %q", held, start, repeat)
				}
			}}
		}})
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		request, err := budget.Reserve(memory.Client)
		if err != nil {
			t.Fatal(err)
		}
		c := call("one")
		c.Memory = request
		res := p.Do(ctx, c)
		if ctx.Err() != nil {
			t.Fatalf("no result for %q and %q", start, repeat)
		}
		if int64(len(res.Body)) > budget.Held() {
			t.Fatalf("a body of %d bytes is counted with %d", len(res.Body), budget.Held())
		}
		request.Release()
		if held := budget.Held(); held != 0 {
			t.Fatalf("%d bytes stay counted for %q and %q", held, start, repeat)
		}
	})
}

// checkedConn calls a function before each read.
type checkedConn struct {
	net.Conn
	check func()
}

func (c checkedConn) Read(p []byte) (int, error) {
	c.check()
	return c.Conn.Read(p)
}
