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

// Guards against a port that opens too early or never. A restarted host has the configuration after 300 ms and the
// holdings of the replicas after another 400 ms; a request before that would be refused here although other hosts could
// answer it. A host that never becomes ready must open its port after Limit, so that operators can query its state, and
// one that is stopped must not wait any longer.
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
		{"stopped while waiting", time.Hour, time.Second, time.Second, warmup.Stopped},
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

// Guards against hosts that wait for the whole Limit at each start because one service is configured but has no
// replicas yet, although they could serve all others.
func TestReady(t *testing.T) {
	for _, test := range []struct {
		name     string
		listRead bool
		services []warmup.Service
		want     bool
	}{
		{"no service is configured", true, nil, false},
		{"the list of replicas has not been read", false, []warmup.Service{{Listed: 0, Versions: 0}}, false},
		{"the replicas of one service have not answered yet", true, []warmup.Service{{Listed: 3, Versions: 1}, {Listed: 3, Versions: 0}}, false},
		{"one service has no replicas", true, []warmup.Service{{Listed: 3, Versions: 1}, {Listed: 0, Versions: 0}}, true},
		{"a version of every service is known", true, []warmup.Service{{Listed: 3, Versions: 2}}, true},
	} {
		qt.Check(t, warmup.Ready(test.listRead, test.services), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
