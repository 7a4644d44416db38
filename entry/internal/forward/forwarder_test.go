package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/entry/internal/requestlog"
	"guavaspring.org/entry/internal/scatter"
	"guavaspring.org/platform/wire"
)

// Guards against writes that run twice. A replica fails with a status that tells clients that the request did not run,
// without stating it in the header. If the status were passed through, the client would send a write again that may
// have run.
func TestNotRunStatusIsNotPassedThrough(t *testing.T) {
	tests := []struct {
		kind   upstream.Kind
		status int
		want   bool
	}{
		{upstream.KindOK, 200, true},
		{upstream.KindError, 500, true},
		{upstream.KindError, 504, true},
		{upstream.KindError, 404, true},
		{upstream.KindError, 503, false},
		{upstream.KindError, 429, false},
		{upstream.KindError, 408, false},
		{upstream.KindError, 200, false},
		{upstream.KindShed, 503, false},
		{upstream.KindRefused, 421, false},
		{upstream.KindBroken, 0, false},
	}
	for _, test := range tests {
		qt.Check(t, mayPassThrough(&exchange.Result{Kind: test.kind, Status: test.status}), qt.Equals, test.want, qt.Commentf("%s %d", test.kind, test.status))
	}
}

// Guards against 404 responses from a host that has not loaded its configuration yet. Also checks the limits on the
// body and the header once it has.
func TestNoConfigIsNot404(t *testing.T) {
	codec := wire.Codec()
	var config *route.Table
	table := endpoints.New(endpoints.Options{Clock: clock.System{}, Log: logr.Discard(), Codec: &codec, Share: func() float64 { return 1 }})
	f := New(Options{
		Clock: clock.System{}, Log: logr.Discard(), Codec: &codec, Table: table, Config: func() *route.Table { return config },
		Runner: scatter.New(scatter.Options{Clock: clock.System{}, Share: func() float64 { return 1 }}), Ended: func(*requestlog.Entry) {}, Refused: func(requestlog.Refusal) {},
		Requests: requestlog.New(requestlog.Options{Clock: clock.System{}, Log: logr.Discard()}), Quarantine: quarantine.New(quarantine.Options{Clock: clock.System{}}),
	})
	ask := func(body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://a.example/x/", strings.NewReader(body)))
		return w
	}
	w := ask("")
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "0.3")
	config = route.NewTable(route.Config{Version: 1, Limits: route.Limits{BodyBytes: 3, HeaderBytes: 200}})
	table.Replace(feed.Batch[platform.Replica]{Revision: 1}, false)
	qt.Assert(t, ask("").Code, qt.Equals, http.StatusNotFound)
	qt.Assert(t, ask("1234").Code, qt.Equals, http.StatusRequestEntityTooLarge)
	w = httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example/x/", nil)
	r.Header.Set("Cookie", strings.Repeat("c", 200))
	f.ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a request that crashes replica after replica. Two attempts at one host crash replicas; a second host
// that learns of it only by gossip must refuse the request with a Retry-After and still run other requests.
func TestCrashingRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		farm := replicatest.New()
		defer farm.Close()
		for n := range 3 {
			farm.Add("desk", n, replicatest.Crash(time.Millisecond, time.Second))
		}
		desk := route.Route{Host: "desk.example", Prefix: "/", Attempts: 2, Timeout: time.Second, Split: []route.Share{{Service: "desk", Weight: 1}}}
		notified := newQuarantine(nil)
		other := newForwarder(farm, true, notified, desk)
		first := newForwarder(farm, true, newQuarantine(notified.ApplyRumor), desk)
		ask := func(f *Forwarder, body string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://desk.example/drop", strings.NewReader(body)))
			return w
		}
		for range 2 {
			qt.Check(t, ask(first, "odd").Code, qt.Equals, http.StatusBadGateway)
		}
		w := ask(other, "odd")
		qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "60")
		qt.Check(t, ask(other, "another").Code, qt.Equals, http.StatusBadGateway)
		time.Sleep(3 * time.Second)
	})
}

// Guards against an empty 200 response to a client that disconnected, which a proxy on the connection would take for a
// success.
func TestDisconnectedClientGetsErrorStatus(t *testing.T) {
	for _, ran := range []bool{true, false} {
		codec := wire.Codec()
		f := New(Options{Clock: clock.System{}, Log: logr.Discard(), Codec: &codec})
		w := httptest.NewRecorder()
		rt := &route.Route{Idempotent: true, Shards: []string{"s1"}}
		status := f.writeResponse(w, rt, &scatter.Report{Ending: scatter.ClientGone, Ran: ran, Results: make([]exchange.Result, 1)})
		qt.Check(t, w.Code, qt.Equals, status)
		want := http.StatusServiceUnavailable
		if ran {
			want = http.StatusBadGateway
		}
		qt.Check(t, status, qt.Equals, want)
	}
}

// Guards against a traffic split that ignores the weights: a service with weight zero must get no requests.
func TestSplitFollowsWeights(t *testing.T) {
	split := []route.Share{{Service: "old", Weight: 3}, {Service: "new", Weight: 1}, {Service: "off", Weight: 0}}
	got := map[string]int{}
	for range 10000 {
		got[pickWeighted(split)]++
	}
	qt.Assert(t, got["off"], qt.Equals, 0)
	qt.Assert(t, got["new"] > 2200 && got["new"] < 2800, qt.IsTrue, qt.Commentf("%v", got))
}
