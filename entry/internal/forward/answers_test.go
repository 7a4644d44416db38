package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/entry/internal/requestlog"
	"guavaspring.org/entry/internal/retrybudget"
	"guavaspring.org/entry/internal/rumor"
	"guavaspring.org/entry/internal/scatter"
	"guavaspring.org/platform/platformtest"
	"guavaspring.org/platform/wire"
)

// newForwarder returns a forwarder to the replicas of a farm. If listed is false, the list of replicas is not loaded.
func newForwarder(farm *replicatest.Farm, listed bool, q *quarantine.Quarantine, routes ...route.Route) *Forwarder {
	return newLimitedForwarder(farm, listed, q, nil, routes...)
}

// newLimitedForwarder returns a forwarder whose requests and replies stay within the budget.
func newLimitedForwarder(farm *replicatest.Farm, listed bool, q *quarantine.Quarantine, budget *memory.Budget, routes ...route.Route) *Forwarder {
	codec := wire.Codec()
	share := func() float64 { return 1 }
	table := endpoints.New(endpoints.Options{
		Clock: clock.System{}, Log: logr.Discard(), Codec: &codec, Share: share, Dial: farm.Dial, Spend: retrybudget.Options{Ratio: 1, Slack: 50, Window: 10 * time.Second}, Memory: budget,
	})
	if listed {
		table.Replace(farm.Batch(), false)
	}
	config := route.NewTable(route.Config{Version: 1, Routes: routes})
	return New(Options{
		Clock: clock.System{}, Log: logr.Discard(), Codec: &codec, Table: table, Config: func() *route.Table { return config }, Quarantine: q,
		Runner: scatter.New(scatter.Options{Clock: clock.System{}, Share: share, Quarantine: q}), Ended: func(*requestlog.Entry) {}, Refused: func(requestlog.Refusal) {},
		Requests: requestlog.New(requestlog.Options{Clock: clock.System{}, Log: logr.Discard()}), Memory: budget,
	})
}

func newQuarantine(publish func(rumor.Rumor)) *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Clock: clock.System{}, Service: "opaque", Publish: publish})
}

// request returns a client's request with the ID "7", as a server reads it. The deadline is in milliseconds.
func request(t *testing.T, method string, deadline int) *http.Request {
	r, err := platformtest.Request(t.Context(), method, "search.example", "/x/", "7", deadline, nil)
	qt.Assert(t, err, qt.IsNil)
	r.RequestURI = r.URL.Path
	return r
}

// Guards against records of a failed shard in the response, and against a partial response that looks complete. One
// shard of three replies with an error that carries a stamp. The response must hold only the records and stamps of the
// other two and report one missing shard.
func TestFailedShardIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		farm := replicatest.New()
		defer farm.Close()
		farm.Add("s0", 1, replicatest.OK("a", time.Millisecond, "aaaaaaaaaaaaaaaa"))
		farm.Add("s1", 1, func(r *http.Request, _ []byte) replicatest.Answer {
			id := platformtest.ReadRequestHeader(r).ID
			return replicatest.Answer{Raw: platformtest.Reply(http.StatusInternalServerError, id, "b."+id, []byte("zzzzzzzzzzzzzzzz"))}
		})
		farm.Add("s2", 1, replicatest.OK("c", time.Millisecond, "cccccccccccccccc"))
		f := newForwarder(farm, true, newQuarantine(nil), route.Route{
			Host: "search.example", Prefix: "/", Idempotent: true, Attempts: 1, Timeout: time.Second, Shards: []string{"s0", "s1", "s2"}, TopK: 5, LeastShare: 0.5,
		})
		w := httptest.NewRecorder()
		f.ServeHTTP(w, request(t, http.MethodGet, 0))
		stamps, missing := platformtest.Parts(w.Header())
		qt.Check(t, w.Code, qt.Equals, http.StatusOK)
		qt.Check(t, stamps, qt.Equals, "a.7, c.7")
		qt.Check(t, missing, qt.Equals, "1")
		qt.Check(t, w.Body.String(), qt.Equals, "ccccccccccccccccaaaaaaaaaaaaaaaa")
		time.Sleep(5 * time.Second)
	})
}

// Guards against responses after the deadline. A replica accepts a request and never replies. The client must get its
// response at the earlier of the route's timeout and its own.
func TestResponseAtDeadline(t *testing.T) {
	tests := []struct {
		route time.Duration
		// clientMillis is the client's timeout in milliseconds, zero for none.
		clientMillis int
		want         time.Duration
	}{
		{300 * time.Millisecond, 0, 300 * time.Millisecond},
		{300 * time.Millisecond, 5000, 300 * time.Millisecond},
		{5 * time.Second, 200, 200 * time.Millisecond},
		{0, 0, 10 * time.Second},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			farm := replicatest.New()
			defer farm.Close()
			farm.Add("desk", 1, func(*http.Request, []byte) replicatest.Answer { return replicatest.Answer{Silent: true} })
			f := newForwarder(farm, true, newQuarantine(nil), route.Route{Host: "search.example", Prefix: "/", Attempts: 1, Timeout: test.route, Split: []route.Share{{Service: "desk", Weight: 1}}})
			w := httptest.NewRecorder()
			began := time.Now()
			f.ServeHTTP(w, request(t, http.MethodPost, test.clientMillis))
			took := time.Since(began)
			qt.Check(t, w.Code, qt.Equals, http.StatusGatewayTimeout)
			qt.Check(t, took <= test.want && took > test.want-50*time.Millisecond, qt.IsTrue, qt.Commentf("%v of %v", took, test.want))
			time.Sleep(time.Minute)
		})
	}
}

// Guards against a host that takes an unloaded list of replicas for an empty one. A host that has just started has the
// routes but no replicas yet, and must answer 503 with a short Retry-After.
func TestUnloadedReplicasAreRefusedWithRetryAfter(t *testing.T) {
	farm := replicatest.New()
	f := newForwarder(farm, false, newQuarantine(nil), route.Route{Host: "search.example", Prefix: "/", Attempts: 1, Timeout: time.Second, Split: []route.Share{{Service: "desk", Weight: 1}}})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://search.example/x/", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "0.3")
}
