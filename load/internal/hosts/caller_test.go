package hosts_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/hosts"
)

// fakeHost counts the requests that it receives and answers each kind of request with a function.
type fakeHost struct {
	addr    netip.AddrPort
	answer  func(n int) caller.Answer
	write   func(n int, ticket string) caller.WriteOutcome
	list    []caller.Address
	mu      sync.Mutex
	queries int
	tickets []string
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/addresses":
		_ = json.NewEncoder(w).Encode(caller.Addresses{KeepMS: 60000, Addresses: h.list})
	case strings.HasSuffix(r.URL.Path, "/write"):
		h.tickets = append(h.tickets, r.Header.Get(caller.HeaderTicket))
		outcome := h.write(len(h.tickets), r.Header.Get(caller.HeaderTicket))
		if outcome == "" {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(caller.WriteAnswer{Outcome: outcome})
	default:
		h.queries++
		_ = json.NewEncoder(w).Encode(h.answer(h.queries))
	}
}

func serve(c *qt.C, h *fakeHost) netip.AddrPort {
	srv := httptest.NewServer(h)
	c.Cleanup(srv.Close)
	h.addr = netip.MustParseAddrPort(srv.Listener.Addr().String())
	return h.addr
}

// dead returns an address without a listener.
func dead() netip.AddrPort {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func complete(int) caller.Answer { return caller.Answer{Outcome: caller.OutcomeComplete} }

func query(c *qt.C, caller *hosts.Caller, retry bool) hosts.QueryResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	c.Cleanup(cancel)
	return caller.Query(ctx, hosts.QueryRequest{Service: "s", ID: "q", Deadline: time.Now().Add(10 * time.Second), Retry: retry})
}

func TestQueryGoesToAnotherAddressWhenAConnectionFails(t *testing.T) {
	// Guards against queries that fail because of a dead host in the cached addresses. The weight of the dead host makes
	// it the first choice; the query must succeed with the second attempt.
	c := qt.New(t)
	h := &fakeHost{answer: complete}
	alive := serve(c, h)
	h.list = []caller.Address{{Address: dead(), Weight: 1e9}, {Address: alive, Weight: 1}}
	one, err := hosts.New("c", []netip.AddrPort{alive})
	c.Assert(err, qt.IsNil)
	res := query(c, one, false)
	c.Assert(res.Err, qt.IsNil)
	c.Assert(res.Attempts, qt.Equals, 2)
	// The dead address must not be used again while the addresses are cached.
	c.Assert(query(c, one, false).Attempts, qt.Equals, 1)
}

func TestRefusedQueryIsSentAgainOnlyAsTheRefusalSays(t *testing.T) {
	// Guards against retries of refused queries that add to an overload: without a retry delay, past the deadline or
	// where retries are off.
	for _, test := range []struct {
		name       string
		retry      bool
		retryAfter int64
		want       int
	}{
		{"asked to and told when", true, 1, 2},
		{"not asked to", false, 1, 1},
		{"not told when", true, 0, 1},
		{"told a time past the deadline", true, 60000, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := &fakeHost{answer: func(n int) caller.Answer {
				if n == 1 {
					return caller.Answer{Outcome: caller.OutcomeRefused, RetryAfterMS: test.retryAfter}
				}
				return complete(n)
			}}
			addr := serve(c, h)
			h.list = []caller.Address{{Address: addr, Weight: 1}}
			one, err := hosts.New("c", []netip.AddrPort{addr})
			c.Assert(err, qt.IsNil)
			res := query(c, one, test.retry)
			c.Assert(res.Attempts, qt.Equals, test.want)
			c.Assert(res.Refusal > 0, qt.IsTrue)
		})
	}
}

func TestWriteOfUnknownOutcomeIsSentAgainUnderItsOwnTicket(t *testing.T) {
	// Guards against a write that runs twice: the response is lost twice, and a retry with a new ticket would run the
	// write again. Retries must use the first ticket.
	c := qt.New(t)
	h := &fakeHost{write: func(n int, _ string) caller.WriteOutcome {
		if n < 3 {
			return ""
		}
		return caller.WriteDone
	}}
	addr := serve(c, h)
	h.list = []caller.Address{{Address: addr, Weight: 1, Tickets: []string{"t1", "t2"}}}
	one, err := hosts.New("c", []netip.AddrPort{addr})
	c.Assert(err, qt.IsNil)
	res, err := one.Write(context.Background(), "s", caller.Write{OpID: "op"})
	c.Assert(err, qt.IsNil)
	c.Assert(res.Outcomes, qt.DeepEquals, []caller.WriteOutcome{caller.WriteUnknown, caller.WriteUnknown, caller.WriteDone})
	c.Assert(h.tickets, qt.DeepEquals, []string{"t1", "t1", "t1"})
}

func TestWriteTakesANewTicketOnlyWhereNoConnectionWasMade(t *testing.T) {
	// Guards against writes that fail because the ticket's host is dead. It refuses connections, so the write did not
	// run and a ticket of another host may be used.
	c := qt.New(t)
	h := &fakeHost{write: func(int, string) caller.WriteOutcome { return caller.WriteDone }}
	alive := serve(c, h)
	h.list = []caller.Address{{Address: dead(), Weight: 1, Tickets: []string{"dead"}}, {Address: alive, Weight: 1, Tickets: []string{"alive"}}}
	// The first ticket is chosen at random; with 20 callers some get that of the dead host.
	for range 20 {
		one, err := hosts.New("c", []netip.AddrPort{alive})
		c.Assert(err, qt.IsNil)
		res, err := one.Write(context.Background(), "s", caller.Write{OpID: "op"})
		c.Assert(err, qt.IsNil)
		c.Assert(res.Outcomes, qt.DeepEquals, []caller.WriteOutcome{caller.WriteDone})
	}
	for _, ticket := range h.tickets {
		c.Assert(ticket, qt.Equals, "alive")
	}
}
