package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/apikey"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/event"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/allowance"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/entry/internal/requestlog"
	"guavaspring.org/platform/platformtest"
)

const (
	quiltsKey = "rvnzqjynjcfv8nmpby25"
	// boardsKey belongs to a customer that has no home region in common with the route "west".
	boardsKey = "6b5cwa32q6qynkki7vme"
)

// customerFixture is a forwarder with customers, and a replica that records the requests it receives.
type customerFixture struct {
	*Forwarder
	log      strings.Builder
	mu       sync.Mutex
	received []platformtest.RequestHeader
}

// newCustomerFixture returns a forwarder whose rate limit decisions are those of take; nil means no limit.
func newCustomerFixture(farm *replicatest.Farm, take func() allowance.Decision) *customerFixture {
	s := &customerFixture{}
	farm.Add("desk", 0, func(r *http.Request, _ []byte) replicatest.Answer {
		s.mu.Lock()
		defer s.mu.Unlock()
		seen := platformtest.ReadRequestHeader(r)
		s.received = append(s.received, seen)
		return replicatest.Answer{After: time.Millisecond, Raw: platformtest.Reply(http.StatusOK, seen.ID, "stamp", []byte("ok"))}
	})
	s.Forwarder = newForwarder(farm, true, newQuarantine(nil))
	split := []route.Share{{Service: "desk", Weight: 1}}
	table := route.NewTable(route.Config{
		Version: 7, Keyed: true, Limits: route.Limits{BodyBytes: 8},
		Routes: []route.Route{
			{Name: "desk", Host: "a.example", Prefix: "/desk/", Attempts: 2, Timeout: time.Second, Split: split},
			{Name: "open", Host: "a.example", Prefix: "/open/", Attempts: 2, Timeout: time.Second, Split: split, Public: true},
			{Name: "west", Host: "a.example", Prefix: "/west/", Attempts: 2, Timeout: time.Second, Split: split, Homes: []string{"west"}},
		},
		Customers: []route.Customer{
			{Name: "quilts", Keys: []apikey.Key{apikey.Digest(quiltsKey)}},
			{Name: "boards", Keys: []apikey.Key{apikey.Digest(boardsKey)}, Homes: []string{"east"}},
		},
	})
	s.opts.Config = func() *route.Table { return table }
	s.opts.Requests = requestlog.New(requestlog.Options{Clock: clock.System{}, Log: event.NewLogger(&s.log)})
	if take != nil {
		s.opts.Allowance = func(context.Context, allowance.Request) allowance.Decision { return take() }
	}
	return s
}

// post sends a request with a key, empty for none. The request also carries a forged customer name.
func (s *customerFixture) post(t *testing.T, path, key, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://a.example"+path, strings.NewReader(body))
	r = platformtest.WithCustomer(r, "forged")
	if key != "" {
		r = platformtest.WithKey(r, key)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against requests that run with an unknown key, requests that are refused with a known one, and keys that reach
// replicas or the log.
func TestKeySelectsCustomer(t *testing.T) {
	tests := []struct {
		path, key string
		status    int
		customer  string
	}{
		{"/desk/1", quiltsKey, http.StatusOK, "quilts"},
		{"/desk/1", "", http.StatusUnauthorized, ""},
		{"/desk/1", "stolen", http.StatusUnauthorized, ""},
		{"/open/1", "", http.StatusOK, ""},
		{"/open/1", "stolen", http.StatusOK, ""},
		{"/open/1", quiltsKey, http.StatusOK, "quilts"},
		{"/none/1", quiltsKey, http.StatusNotFound, ""},
		{"/none/1", "stolen", http.StatusNotFound, ""},
		{"/west/1", boardsKey, http.StatusServiceUnavailable, ""},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			farm := replicatest.New()
			defer farm.Close()
			s := newCustomerFixture(farm, nil)
			w := s.post(t, test.path, test.key, "")
			qt.Check(t, w.Code, qt.Equals, test.status, qt.Commentf("%s with %q", test.path, test.key))
			qt.Check(t, w.Header().Get("WWW-Authenticate") != "", qt.Equals, test.status == http.StatusUnauthorized)
			qt.Check(t, len(s.received) == 1, qt.Equals, test.status == http.StatusOK)
			for _, seen := range s.received {
				qt.Check(t, seen.Customer, qt.Equals, test.customer)
				qt.Check(t, seen.Key, qt.Equals, "")
			}
			qt.Check(t, strings.Contains(s.log.String(), quiltsKey), qt.IsFalse)
			time.Sleep(3 * time.Second)
		})
	}
}

// Guards against 429 responses from a host that could not check the customer's rate limit. It must answer 503.
func TestRefusalByAllowance(t *testing.T) {
	tests := []struct {
		decision allowance.Decision
		status   int
		cause    requestlog.Cause
	}{
		{allowance.Decision{Admitted: true, Source: allowance.SourceLocalKeeper}, http.StatusOK, ""},
		{allowance.Decision{Source: allowance.SourceKeeper, RetryAfter: 250 * time.Millisecond}, http.StatusTooManyRequests, requestlog.CauseAllowance},
		{allowance.Decision{Source: allowance.SourceOwnShare, RetryAfter: 250 * time.Millisecond}, http.StatusServiceUnavailable, requestlog.CauseNoKeeper},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			farm := replicatest.New()
			defer farm.Close()
			s := newCustomerFixture(farm, func() allowance.Decision { return test.decision })
			w := s.post(t, "/desk/1", quiltsKey, "")
			qt.Check(t, w.Code, qt.Equals, test.status)
			qt.Check(t, len(s.received) == 1, qt.Equals, test.decision.Admitted)
			if !test.decision.Admitted {
				qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "0.25")
				qt.Check(t, s.log.String(), qt.Contains, `"cause":"`+string(test.cause)+`"`)
				qt.Check(t, s.log.String(), qt.Contains, `"customer":"quilts"`)
			}
			time.Sleep(3 * time.Second)
		})
	}
}

// Guards against requests that are refused for another reason and still count against the customer's rate limit.
func TestRefusedRequestsUseNoAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		farm := replicatest.New()
		defer farm.Close()
		taken := 0
		s := newCustomerFixture(farm, func() allowance.Decision {
			taken++
			return allowance.Decision{Admitted: true, Source: allowance.SourceLocalKeeper}
		})
		qt.Check(t, s.post(t, "/none/1", quiltsKey, "").Code, qt.Equals, http.StatusNotFound)
		qt.Check(t, s.post(t, "/desk/1", "stolen", "").Code, qt.Equals, http.StatusUnauthorized)
		qt.Check(t, s.post(t, "/desk/1", quiltsKey, "over the limit").Code, qt.Equals, http.StatusRequestEntityTooLarge)
		qt.Check(t, s.post(t, "/west/1", boardsKey, "").Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, taken, qt.Equals, 0)
		qt.Check(t, s.post(t, "/desk/1", quiltsKey, "").Code, qt.Equals, http.StatusOK)
		qt.Check(t, taken, qt.Equals, 1)
		time.Sleep(3 * time.Second)
	})
}
