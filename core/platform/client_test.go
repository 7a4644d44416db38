package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/platform"
)

// Guards against versions that are not ordered across a restore of the platform's store from a backup, and against
// updates and watches that continue from state that the restore has lost.
func TestVersionsOfTwoErasAreOrdered(t *testing.T) {
	era := "0"
	var calls []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, strings.TrimSpace(fmt.Sprint(r.Method, " ", r.URL.RequestURI(), " ", r.Header.Get("If-Match"), " ", r.Header.Get(platform.HeaderEra))))
		w.Header().Set(platform.HeaderEra, era)
		if strings.HasPrefix(r.URL.Path, "/v1/watch/") {
			_, _ = fmt.Fprintf(w, `{"revision":9,"objects":[{"kind":"status","name":"s","version":4,"revision":9,"era":%s}]}`, era)
			return
		}
		_, _ = fmt.Fprintf(w, `{"kind":"status","name":"s","version":4,"revision":9,"era":%s}`, era)
	}))
	t.Cleanup(srv.Close)
	c, err := platform.New(netip.MustParseAddrPort(srv.Listener.Addr().String()))
	qt.Assert(t, err, qt.IsNil)
	ctx := context.Background()
	var versions []int64
	for _, era = range []string{"0", "2", "3"} {
		obj, err := c.Get(ctx, platform.KindStatus, "s")
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Put(ctx, platform.KindStatus, "s", obj.Version, []byte("1"))
		qt.Assert(t, err, qt.IsNil)
		objs, _, err := c.Watch(ctx, platform.KindStatus, 7, time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, objs[0].Version, qt.Equals, obj.Version)
		versions = append(versions, obj.Version)
	}
	qt.Check(t, versions, qt.DeepEquals, []int64{4, 2<<40 | 4, 3<<40 | 4})
	qt.Check(t, c.Era(), qt.Equals, int64(3))
	qt.Check(t, calls, qt.DeepEquals, []string{
		"GET /v1/objects/status/s", "PUT /v1/objects/status/s 4 0", "GET /v1/watch/status?after=7&era=0&wait_ms=1000",
		"GET /v1/objects/status/s", "PUT /v1/objects/status/s 4 2", "GET /v1/watch/status?after=7&era=0&wait_ms=1000",
		"GET /v1/objects/status/s", "PUT /v1/objects/status/s 4 3", "GET /v1/watch/status?after=7&era=2&wait_ms=1000",
	})
}

// Guards against a host that runs out of memory because the platform sends a header without end.
func TestOversizedHeaderIsAnError(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 100<<10))
		_, _ = fmt.Fprint(w, `{}`)
	}))
	t.Cleanup(srv.Close)
	c, err := platform.New(netip.MustParseAddrPort(srv.Listener.Addr().String()))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Get(t.Context(), platform.KindStatus, "s")
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
}
