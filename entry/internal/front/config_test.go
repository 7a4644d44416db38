package front

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/frontmetrics"
	"guavaspring.org/entry/internal/rumor"
)

func newFront(t *testing.T) *Front {
	f, err := New(Options{
		Clock: clock.System{}, Log: logr.Discard(), Zone: "a", Region: "r", Peer: netip.MustParseAddrPort("127.0.0.1:0"),
		Front: netip.MustParseAddrPort("127.0.0.1:1"), Seeds: func() []netip.AddrPort { return nil },
		StoreCalls: func() []frontmetrics.StoreCalls { return nil }, LinesLost: func() uint64 { return 0 },
		Store: Store{List: func(context.Context, platform.Kind) ([]platform.Object, int64, error) {
			return nil, 0, errors.New("away")
		}},
	})
	qt.Assert(t, err, qt.IsNil)
	return f
}

func version(n int64) feed.Batch[route.Config] {
	return feed.Batch[route.Config]{Entries: []feed.Entry[route.Config]{{Name: "main", Value: route.Config{Version: n}}}}
}

// Two hosts tell this one of configurations, one of them cut off since before the last change. A route that was taken
// away must not come back for a moment.
func TestConfigNeverGoesBack(t *testing.T) {
	f := newFront(t)
	for _, step := range []struct{ told, want int64 }{{3, 3}, {7, 7}, {5, 7}, {7, 7}, {0, 7}, {8, 8}} {
		f.applyConfig(version(step.told))
		qt.Assert(t, f.configVersion(), qt.Equals, step.want)
	}
	gone := version(9)
	gone.Entries[0].Deleted = true
	f.applyConfig(gone)
	qt.Assert(t, f.configVersion(), qt.Equals, int64(8))
}

// A host that has just started says that it is not ready, and names no host that it doesn't know to serve.
func TestNotReadyBeforeConfig(t *testing.T) {
	f := newFront(t)
	qt.Assert(t, f.ready(), qt.ErrorMatches, "the configuration is not known yet")
	_, _, err := f.addresses(opaque.Caller{Region: "r", Zone: "a"})
	qt.Assert(t, err, qt.ErrorMatches, "no host is known to serve")
	f.applyConfig(version(1))
	qt.Assert(t, f.ready(), qt.ErrorMatches, "the configuration is not known yet")
	f.table.Replace(feed.Batch[platform.Replica]{Revision: 1}, false)
	qt.Assert(t, f.ready(), qt.IsNil)
	list, keep, err := f.addresses(opaque.Caller{Region: "r", Zone: "a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(list), qt.Equals, 1)
	qt.Assert(t, keep <= keepFor, qt.IsTrue)
}

// A host is told to stop. The platform's checks and clients that ask for addresses must not be sent to it any more,
// though it serves those that still come; where no other host is known it names none.
func TestLeavingHostIsNotHandedOut(t *testing.T) {
	f := newFront(t)
	f.applyConfig(version(1))
	f.table.Replace(feed.Batch[platform.Replica]{Revision: 1}, false)
	qt.Assert(t, f.ready(), qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, f.drain.Leave(ctx), qt.IsNil)
	qt.Assert(t, f.ready(), qt.ErrorMatches, "the host is leaving.*")
	_, _, err := f.addresses(opaque.Caller{Region: "r", Zone: "a"})
	qt.Assert(t, err, qt.ErrorMatches, "no host is known to serve")
}

// Another host has found a request that crashes replicas. Its caller turns to this host next, which must know of it.
func TestQuarantineIsHeardFromOthers(t *testing.T) {
	f := newFront(t)
	_, err := f.joined.rumors.Publish(rumor.Rumor{
		Kind: rumor.KindQuarantine, Service: opaqueRequests, Key: "fp", Number: 1, Expires: time.Now().Add(time.Minute),
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.crashers.Check("fp").Refused, qt.IsTrue)
	qt.Assert(t, f.crashers.Check("other").Refused, qt.IsFalse)
}
