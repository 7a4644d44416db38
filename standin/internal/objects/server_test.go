package objects_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/platform"
	"guavaspring.org/standin/internal/objects"
)

type caller struct{ h http.Handler }

func newCaller(opts objects.Options) caller {
	return caller{objects.New(opts).HTTP(netip.MustParseAddrPort("127.0.0.1:0")).Handler}
}

func (c caller) call(method, path, ifMatch, body string) (int, string) {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	w := httptest.NewRecorder()
	c.h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func TestCallsOverTheLimitAreRejected(t *testing.T) {
	// A burst of writes exceeds the limit of two a second. Writes succeed again a second later, and the limit of writes
	// does not apply to reads.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		plat := newCaller(objects.Options{WritesPerSecond: 2, ReadsPerSecond: 100})
		var got []int
		for _, version := range []string{"0", "1", "2"} {
			code, _ := plat.call(http.MethodPut, "/v1/objects/status/s", version, `{}`)
			got = append(got, code)
		}
		c.Assert(got, qt.DeepEquals, []int{200, 200, 429})
		code, _ := plat.call(http.MethodGet, "/v1/objects/status/s", "", "")
		c.Assert(code, qt.Equals, 200)
		time.Sleep(time.Second)
		code, _ = plat.call(http.MethodPut, "/v1/objects/status/s", "2", `{}`)
		c.Assert(code, qt.Equals, 200)
	})
}

func TestReadsLagOnCommandAndConditionalUpdatesDoNot(t *testing.T) {
	// For a second, reads return the snapshot taken on the command; a conditional update still compares with the newest
	// version.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		plat := newCaller(objects.Options{})
		plat.call(http.MethodPut, "/v1/objects/document/s", "0", `1`)
		plat.call(http.MethodPost, "/control/faults", "", `{"old_ms":1000}`)
		code, _ := plat.call(http.MethodPut, "/v1/objects/document/s", "1", `2`)
		c.Assert(code, qt.Equals, 200)
		code, _ = plat.call(http.MethodPut, "/v1/objects/document/s", "1", `3`)
		c.Assert(code, qt.Equals, 409)
		c.Assert(version(c, plat), qt.Equals, int64(1))
		time.Sleep(time.Second)
		c.Assert(version(c, plat), qt.Equals, int64(2))
	})
}

func version(c *qt.C, plat caller) int64 {
	_, body := plat.call(http.MethodGet, "/v1/objects/document/s", "", "")
	var obj struct {
		Version int64 `json:"version"`
	}
	c.Assert(json.Unmarshal([]byte(body), &obj), qt.IsNil)
	return obj.Version
}

func TestOutageEndsWaitingWatches(t *testing.T) {
	// A watch waits when an outage begins: it fails immediately, as do new calls until the outage ends.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		plat := newCaller(objects.Options{})
		got := make(chan int, 1)
		go func() {
			code, _ := plat.call(http.MethodGet, "/v1/watch/document?after=0&wait_ms=60000", "", "")
			got <- code
		}()
		synctest.Wait()
		plat.call(http.MethodPost, "/control/faults", "", `{"down_ms":1000}`)
		c.Assert(<-got, qt.Equals, 503)
		code, _ := plat.call(http.MethodGet, "/v1/hosts", "", "")
		c.Assert(code, qt.Equals, 503)
		time.Sleep(time.Second)
		code, _ = plat.call(http.MethodGet, "/v1/hosts", "", "")
		c.Assert(code, qt.Equals, 200)
	})
}

func TestHostListShowsTheOldRowUntilTheChangeIsNoLongerHidden(t *testing.T) {
	// A replica that begins to drain stays live in the list for the lag, and is never missing from the list.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		plat := newCaller(objects.Options{HostLag: time.Second})
		plat.call(http.MethodPut, "/control/hosts/r-0", "", `{"service":"s","addr":"127.0.0.1:9","state":"live"}`)
		c.Assert(state(c, plat), qt.Equals, "")
		time.Sleep(time.Second)
		plat.call(http.MethodPut, "/control/hosts/r-0", "", `{"service":"s","addr":"127.0.0.1:9","state":"leaving"}`)
		c.Assert(state(c, plat), qt.Equals, "live")
		time.Sleep(time.Second)
		c.Assert(state(c, plat), qt.Equals, "leaving")
		plat.call(http.MethodDelete, "/control/hosts/r-0", "", "")
		time.Sleep(time.Second)
		c.Assert(state(c, plat), qt.Equals, "")
	})
}

func state(c *qt.C, plat caller) string {
	_, body := plat.call(http.MethodGet, "/v1/hosts", "", "")
	var list struct {
		Hosts []struct {
			State string `json:"state"`
		} `json:"hosts"`
	}
	c.Assert(json.Unmarshal([]byte(body), &list), qt.IsNil)
	if len(list.Hosts) == 0 {
		return ""
	}
	return list.Hosts[0].State
}

func TestPlatformComesBackFromACopy(t *testing.T) {
	// A restore discards the writes after the backup, and the next write reuses their version number. Neither a watch
	// nor a conditional update may confuse the two versions.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		plat := newCaller(objects.Options{})
		plat.call(http.MethodPut, "/v1/objects/document/s", "0", `1`)
		plat.call(http.MethodPost, "/control/faults", "", `{"keep":true}`)
		plat.call(http.MethodPut, "/v1/objects/document/s", "1", `2`)
		plat.call(http.MethodPost, "/control/faults", "", `{"restore":true}`)
		_, body := plat.call(http.MethodGet, "/v1/objects/document/s", "", "")
		c.Assert(body, qt.JSONEquals, map[string]any{"kind": "document", "name": "s", "version": 1, "revision": 1, "body": 1})
		code, _ := plat.call(http.MethodPut, "/v1/objects/document/s", "1", `3`)
		c.Assert(code, qt.Equals, 200)
		// The watch continues from revision 2 of the previous era.
		_, body = plat.call(http.MethodGet, "/v1/watch/document?after=2&era=0&wait_ms=1000", "", "")
		c.Assert(body, qt.JSONEquals, map[string]any{"revision": 2, "objects": []any{map[string]any{"kind": "document", "name": "s", "version": 2, "revision": 2, "era": 1, "body": 3}}})
		began := time.Now()
		_, body = plat.call(http.MethodGet, "/v1/watch/document?after=2&era=1&wait_ms=1000", "", "")
		c.Assert(body, qt.JSONEquals, map[string]any{"revision": 2, "objects": []any{}})
		c.Assert(time.Since(began), qt.Equals, time.Second)
		// With era 0, version 2 is the one that the restore discarded.
		for _, read := range []struct {
			era  string
			want int
		}{{"0", 409}, {"1", 200}} {
			r := httptest.NewRequestWithContext(context.Background(), http.MethodPut, "/v1/objects/document/s", strings.NewReader(`4`))
			r.Header.Set("If-Match", "2")
			r.Header.Set(platform.HeaderEra, read.era)
			w := httptest.NewRecorder()
			plat.h.ServeHTTP(w, r)
			c.Assert(w.Code, qt.Equals, read.want)
		}
	})
}
