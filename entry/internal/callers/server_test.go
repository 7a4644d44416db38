package callers_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/callers"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/service"
	"guavaspring.org/entry/internal/writes"
)

// newUpstream starts a replica that returns one hit for every query.
func newUpstream(t *testing.T) netip.AddrPort {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.Health{Slots: 5, Holdings: []upstream.Holding{{Version: 1, Shard: 0, Shards: 1}}})
	})
	mux.HandleFunc("/v1/query", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.QueryReply{RequestID: r.Header.Get(upstream.HeaderRequest), Version: 1, Hits: []upstream.Hit{{ID: "h"}}})
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// newHost starts a server with the API for callers and one service.
func newHost(t *testing.T) *httptest.Server {
	doc := document.Default()
	doc.Service = "remnant-finder"
	doc.Deadline.Default = document.Duration(5 * time.Second)
	svc, err := service.New(accepted.Generation{Service: doc.Service, Number: 1, Document: doc}, service.Options{
		Clock: clock.System{}, Log: logr.Discard(), Explain: explain.New(16), NewID: rand.Text,
	})
	qt.Assert(t, err, qt.IsNil)
	svc.Update(context.Background(), []platform.Replica{{ID: "r0", Service: doc.Service, Addr: newUpstream(t), State: platform.StateLive}})
	api := callers.New(callers.Options{
		Clock: clock.System{}, Log: logr.Discard(), Listen: netip.MustParseAddrPort("127.0.0.1:0"), NewID: rand.Text,
		Explain: explain.New(16), Metrics: prometheus.NewRegistry(),
		Service: func(name string) *service.Service {
			if name != doc.Service {
				return nil
			}
			return svc
		},
		Ready: func() error { return nil },
		Addresses: func(req callers.AddressRequest) (caller.Addresses, error) {
			if req.Service == "panics" {
				panic("a broken invariant")
			}
			return caller.Addresses{Service: req.Service}, nil
		},
		Write: func(_ context.Context, req writes.Request) caller.WriteAnswer {
			return caller.WriteAnswer{RequestID: req.ID, Outcome: caller.WriteDone}
		},
	})
	srv := httptest.NewUnstartedServer(api.Handler)
	srv.Config.MaxHeaderBytes = api.MaxHeaderBytes
	srv.Config.ErrorLog = api.ErrorLog
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

const queryPath, writePath = "/v1/services/remnant-finder/query", "/v1/services/remnant-finder/write"

func send(t *testing.T, srv *httptest.Server, method, path, body string, headers ...string) (int, string) {
	req, err := http.NewRequestWithContext(context.Background(), method, srv.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}
	resp, err := srv.Client().Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode, string(b)
}

// Guards against invalid requests that are accepted, or rejected without the faulty part and the accepted values, and
// against a host that can't serve the next request after one of them.
func TestInvalidRequestIsRejected(t *testing.T) {
	srv := newHost(t)
	long := strings.Repeat("x", 300)
	for _, test := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		want                     string
	}{
		{"no service of that name", "POST", "/v1/services/none/query", `{}`, nil, 404, `no service "none" is configured here`},
		{"no path", "GET", "/v2/everything", ``, nil, 404, `there is nothing at /v2/everything`},
		{"wrong method", "GET", queryPath, ``, nil, 405, `GET can't be used at ` + queryPath},
		{"no body", "POST", queryPath, ``, nil, 400, `the body is empty; want a JSON object`},
		{"broken JSON", "POST", queryPath, `{"query":`, nil, 400, `the body is not the JSON wanted: unexpected`},
		{"no object", "POST", queryPath, `null`, nil, 400, `the body is null; want a JSON object`},
		{"two objects", "POST", queryPath, `{"query":"a"}{"query":"b"}`, nil, 400, `the body goes on after the JSON object`},
		{"unknown key", "POST", queryPath, `{"query":"a","limt":3}`, nil, 400, `"limt" is an unknown key`},
		{"wrong type", "POST", queryPath, `{"query":"a","limit":"3"}`, nil, 400, `limit: string is the wrong type; want int`},
		{"not UTF-8", "POST", queryPath, "{\"query\":\"\xff\"}", nil, 400, `the body is not UTF-8`},
		{"limit under 0", "POST", queryPath, `{"query":"a","limit":-1}`, nil, 400, `limit: -1 is out of range; want 1 to 1000`},
		{"limit too high", "POST", queryPath, `{"query":"a","limit":1001}`, nil, 400, `limit: 1001 is out of range; want 1 to 1000`},
		{"limit over any number", "POST", queryPath, `{"query":"a","limit":1e400}`, nil, 400, `limit`},
		{"key too long", "POST", queryPath, `{"query":"a","key":"` + long + `"}`, nil, 400, `key: 300 bytes long; want at most 256`},
		{"body too large", "POST", queryPath, `{"query":"` + strings.Repeat("x", 1<<20) + `"}`, nil, 413, `the body is over 1048576 bytes`},
		{"deadline under 0", "POST", queryPath, `{"query":"a"}`, []string{"X-Deadline-Ms=-5"}, 400, `X-Deadline-Ms: "-5" is not a whole number of milliseconds from 1 to 86400000`},
		{"deadline passed", "POST", queryPath, `{"query":"a"}`, []string{"X-Deadline-Ms=0"}, 400, `X-Deadline-Ms: "0"`},
		{"deadline over any number", "POST", queryPath, `{"query":"a"}`, []string{"X-Deadline-Ms=99999999999999999999"}, 400, `X-Deadline-Ms`},
		{"deadline in words", "POST", writePath, `{"op_id":"a"}`, []string{"X-Deadline-Ms=soon"}, 400, `X-Deadline-Ms: "soon"`},
		{"id too long", "POST", queryPath, `{"query":"a"}`, []string{"X-Request-Id=" + long}, 400, `X-Request-Id: 300 bytes long; want at most 128`},
		{"id not printable", "POST", queryPath, `{"query":"a"}`, []string{"X-Request-Id=\xff\xfe"}, 400, `X-Request-Id: "\xff\xfe" holds other than printable ASCII`},
		{"caller too long", "POST", queryPath, `{"query":"a"}`, []string{"X-Caller=" + long}, 400, `X-Caller: 300 bytes long; want at most 128`},
		{"caller not printable", "POST", writePath, `{"op_id":"a"}`, []string{"X-Caller=\xc3\x28"}, 400, `X-Caller`},
		{"ticket too long", "POST", writePath, `{"op_id":"a"}`, []string{"X-Ticket=" + strings.Repeat("x", 2000)}, 400, `X-Ticket: 2000 bytes long; want at most 1024`},
		{"headers too long", "POST", queryPath, `{"query":"a"}`, []string{"X-Other=" + strings.Repeat("x", 64<<10)}, 431, ``},
		{"op_id too long", "POST", writePath, `{"op_id":"` + long + `"}`, nil, 400, `op_id: 300 bytes long; want at most 256`},
		{"write with an unknown key", "POST", writePath, `{"op_id":"a","paylod":{}}`, nil, 400, `"paylod" is an unknown key`},
		{"tickets under 0", "GET", "/v1/addresses?service=remnant-finder&tickets=-1", ``, nil, 400, `tickets: "-1" is not a number from 0 to 100`},
		{"addresses of no service", "GET", "/v1/addresses", ``, nil, 400, `service: missing`},
		{"explanation unknown", "GET", "/v1/explanations/none", ``, nil, 404, `no explanation with that id`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			status, body := send(t, srv, test.method, test.path, test.body, test.headers...)
			c.Check(status, qt.Equals, test.status)
			c.Check(problemReason(body), qt.Contains, test.want)
			status, body = send(t, srv, "POST", queryPath, `{"query":"a"}`)
			c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		})
	}
}

// problemReason returns the reason in an error response, or "" where the body is not one.
func problemReason(body string) string {
	var p caller.Problem
	_ = json.Unmarshal([]byte(body), &p)
	return p.Reason
}

// Guards against a panic in a handler that closes the connection without a response, or that stops the host.
func TestPanicReturns500(t *testing.T) {
	c := qt.New(t)
	srv := newHost(t)
	status, body := send(t, srv, "GET", "/v1/addresses?service=panics", "")
	c.Check(status, qt.Equals, http.StatusInternalServerError)
	c.Check(body, qt.Contains, `"code":"internal"`)
	status, _ = send(t, srv, "POST", queryPath, `{"query":"a"}`)
	c.Check(status, qt.Equals, http.StatusOK)
}

// Guards against a request that runs, or holds its connection forever, although its body ends before Content-Length:
// the caller disconnected in the middle of the body or stated a wrong length.
func TestTruncatedBodyIsRejected(t *testing.T) {
	c := qt.New(t)
	srv := newHost(t)
	var d net.Dialer
	conn, err := d.DialContext(context.Background(), "tcp", srv.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{\"query\":", queryPath)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest)
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	c.Check(b.String(), qt.Contains, "the body can't be read")
}

// FuzzQueryBody looks for a body that makes DecodeQuery panic or return a query outside of the limits.
func FuzzQueryBody(f *testing.F) {
	for _, seed := range []string{`{"query":"blue linen","limit":3,"key":"blue"}`, `{}`, `null`, `[`, `{"limit":1e400}`, "{\"query\":\"\xff\"}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if q, err := callers.DecodeQuery(body); err == nil && (q.Limit < 1 || q.Limit > 1000 || len(q.Key) > 256) {
			t.Fatalf("%q was decoded as %+v, outside of the limits", body, q)
		}
	})
}
