package acceptor_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/acceptor"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/replicatest"
)

// Guards against bytes by which a client makes a host hold more memory than its budget, or that stay counted once its
// connection is closed.
func FuzzRequestStaysWithinTheMemory(f *testing.F) {
	for _, seed := range [][2]string{
		{"", "x"}, {"GET / HTTP/1.1\r\n", "X-Y: z\r\n"}, {"GET / HTTP/1.1\r\n", "a:\n"}, {"", request}, {request, request[:7]},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", "x\n"}, {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Y: z\r\n"}, {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x00"},
	} {
		f.Add([]byte(seed[0]), []byte(seed[1]))
	}
	const limit, most = 256 << 10, 128 << 10
	f.Fuzz(func(t *testing.T, start, repeat []byte) {
		l := replicatest.NewListener()
		budget := memory.New(memory.Options{Clock: clock.System{}, Log: logr.Discard(), Limit: limit})
		accepted := acceptor.New(acceptor.Options{Clock: clock.System{}, Log: logr.Discard(), Listener: l, MaxConns: 4, Memory: budget})
		ended := make(chan struct{})
		srv := &http.Server{MaxHeaderBytes: acceptor.MaxHeaderBytes, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if held := budget.Held(); held > limit {
				t.Errorf("%d bytes are held for %q and %q", held, start, repeat)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, "ok")
		})}
		srv.ConnState = func(c net.Conn, state http.ConnState) {
			accepted.State(c, state)
			if state == http.StateClosed {
				close(ended)
			}
		}
		go func() { _ = srv.Serve(accepted) }()
		defer func() { _ = srv.Close() }()
		c, err := l.Dial()
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
		writeAll(c, string(start)+strings.Repeat(string(repeat), most/max(1, len(repeat))))
		_ = c.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatalf("the connection stays open after %q and %q", start, repeat)
		}
		if held, open := budget.Held(), accepted.Open(); held != 0 || open != 0 {
			t.Fatalf("%d bytes stay counted on %d connections for %q and %q", held, open, start, repeat)
		}
	})
}
