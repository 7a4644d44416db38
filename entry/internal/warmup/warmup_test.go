package warmup_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/warmup"
)

// A host is replaced while callers keep its address. It learns the configuration from a peer after 300 ms and
// what the replicas hold after another 400 ms. If its port were open before that, a greeter's lookup would be
// refused here though the other hosts could answer it. A host that never learns anything must open all the same,
// or its operator could not even ask it why; and one that is told to stop must not wait at all.
func TestPortOpensOnceTheHostCanServe(t *testing.T) {
	for _, test := range []struct {
		name  string
		knows time.Duration
		stop  time.Duration
		after time.Duration
		want  warmup.Reason
	}{
		{"known at once", 0, time.Hour, 0, warmup.Reached},
		{"known later", 700 * time.Millisecond, time.Hour, 700 * time.Millisecond, warmup.Reached},
		{"never known", time.Hour, time.Hour, warmup.Limit, warmup.Expired},
		{"told to stop", time.Hour, time.Second, time.Second, warmup.Stopped},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), test.stop)
				defer cancel()
				w := warmup.New(warmup.Options{Clock: clock.System{}, Known: func() bool { return time.Since(start) >= test.knows }})
				qt.Check(t, w.Wait(ctx), qt.Equals, test.want)
				qt.Check(t, time.Since(start), qt.Equals, test.after)
			})
		})
	}
}

// A team proposes the document of a service whose servers come next week. Hosts are replaced meanwhile, and each
// keeps its port closed for the whole limit though it could serve all other services.
func TestReady(t *testing.T) {
	for _, test := range []struct {
		name     string
		listRead bool
		services []warmup.Service
		want     bool
	}{
		{"nothing is configured", true, nil, false},
		{"the list was not read", false, []warmup.Service{{Listed: 0, Versions: 0}}, false},
		{"replicas that were not asked yet", true, []warmup.Service{{Listed: 3, Versions: 1}, {Listed: 3, Versions: 0}}, false},
		{"a service without replicas", true, []warmup.Service{{Listed: 3, Versions: 1}, {Listed: 0, Versions: 0}}, true},
		{"all known", true, []warmup.Service{{Listed: 3, Versions: 2}}, true},
	} {
		qt.Check(t, warmup.Ready(test.listRead, test.services), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
