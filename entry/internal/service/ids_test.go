package service_test

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/service"
)

// dedupingUpstream starts an upstream that deduplicates requests: it answers a repeated request id with its first
// answer.
func dedupingUpstream(t *testing.T) netip.AddrPort {
	var mu sync.Mutex
	answers := map[string]string{}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.Health{Slots: 5, Holdings: []upstream.Holding{{Version: 1, Shard: 0, Shards: 1}}})
	})
	mux.HandleFunc("/v1/query", func(w http.ResponseWriter, r *http.Request) {
		var q upstream.Query
		_ = json.NewDecoder(r.Body).Decode(&q)
		id := r.Header.Get(upstream.HeaderRequest)
		mu.Lock()
		if _, ok := answers[id]; !ok {
			answers[id] = "bundles for " + q.Query
		}
		hit := answers[id]
		mu.Unlock()
		_ = json.NewEncoder(w).Encode(upstream.QueryReply{RequestID: id, Version: 1, Hits: []upstream.Hit{{ID: hit}}})
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func newService(t *testing.T, addr netip.AddrPort) *service.Service {
	doc := document.Default()
	doc.Service = "remnant-finder"
	doc.Deadline.Default = document.Duration(5 * time.Second)
	s, err := service.New(accepted.Generation{Service: doc.Service, Number: 1, Document: doc}, service.Options{
		Clock: clock.System{}, Log: logr.Discard(), Explain: explain.New(16), NewID: rand.Text,
	})
	qt.Assert(t, err, qt.IsNil)
	s.Update(context.Background(), []platform.Replica{{ID: "r0", Service: doc.Service, Addr: addr, State: platform.StateLive}})
	return s
}

// Guards against a caller getting another caller's hits. Two callers number their requests from 1, and the upstream
// deduplicates by id. If the ids of attempts derive from the caller's request id, the second query gets the first one's
// answer, and the check of the echoed id passes.
func TestQueryOfCallersThatUseTheSameRequestID(t *testing.T) {
	c := qt.New(t)
	s := newService(t, dedupingUpstream(t))
	for _, test := range []struct{ caller, query string }{
		{"quilter-a", "linen"},
		{"quilter-b", "wool"},
	} {
		now := time.Now()
		ans := s.Query(context.Background(), service.QueryRequest{
			ID: "1", Caller: test.caller, Arrived: now, Deadline: now.Add(5 * time.Second),
			Query: caller.Query{Query: test.query, Limit: 1},
		})
		c.Assert(ans.Outcome, qt.Equals, caller.OutcomeComplete)
		c.Check(ans.RequestID, qt.Equals, "1")
		c.Check(ans.Hits[0].ID, qt.Equals, "bundles for "+test.query)
	}
}
