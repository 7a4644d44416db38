package endpoints_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/route"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/pick"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/platform/wire"
)

// zonedTable is the table of a host in zone a, with one replica of the service in each given zone; one zone at a time
// may be evacuated.
type zonedTable struct {
	*endpoints.Table
	replicas  []*replicatest.Replica
	evacuated atomic.Value
	// share is the number of requests per second that the host may send to a cold replica.
	share int
}

func newZonedTable(f *replicatest.Farm, dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error), zones ...string) *zonedTable {
	t := &zonedTable{}
	t.evacuated.Store("")
	codec := wire.Codec()
	t.Table = endpoints.New(endpoints.Options{
		Clock: clock.System{}, Log: logr.Discard(), Zone: "a", Regions: map[string]string{"a": "near", "b": "far"}, Codec: &codec, Dial: dial, Share: func() float64 { return 1 },
		Evacuated: func(zone string) bool { return t.evacuated.Load() == zone },
		ColdShare: func(string, float64) int { return t.share },
	})
	for i, zone := range zones {
		r := f.Add("s", i, replicatest.OK("s-"+zone, 0, "x"))
		r.Row.Zone = zone
		t.replicas = append(t.replicas, r)
	}
	t.Replace(f.Batch(), false)
	return t
}

func (t *zonedTable) evacuate(zone string) {
	t.evacuated.Store(zone)
	t.Refresh()
}

// Guards against requests sent to an evacuated zone. The zone of the preferred replica is evacuated: the host has to
// choose another one, leave the zone out of the serving ones, report when no zone is left, and use the zone as before
// once it is released.
func TestEvacuatedZoneIsNotChosen(t *testing.T) {
	f := replicatest.New()
	table := newZonedTable(f, f.Dial, "a", "b")
	s := table.Service("s")
	need := endpoints.Need{Need: pick.Need{Usual: 10 * time.Millisecond, Within: 100 * time.Millisecond}}
	zone := func() string {
		c, verdict := s.Pick(time.Now(), need, func() float64 { return 0 })
		if verdict != endpoints.Found {
			return string(verdict)
		}
		return c.Replica.Zone()
	}
	tests := []struct {
		evacuated, want string
		near            bool
		zones           int
	}{{"", "a", true, 2}, {"a", "b", false, 1}, {"b", "a", true, 1}, {"", "a", true, 2}, {"unknown", "a", true, 2}}
	for _, test := range tests {
		table.evacuate(test.evacuated)
		c := qt.Commentf("%q is evacuated", test.evacuated)
		qt.Check(t, zone(), qt.Equals, test.want, c)
		near, zones := s.Zones()
		qt.Check(t, near, qt.Equals, test.near, c)
		qt.Check(t, zones, qt.HasLen, test.zones, c)
		qt.Check(t, s.Served(nil), qt.IsTrue, c)
	}

	oneZone := newZonedTable(replicatest.New(), f.Dial, "a")
	oneZone.evacuate("a")
	qt.Assert(t, oneZone.Service("s").Served(nil), qt.IsFalse)
	_, verdict := oneZone.Service("s").Pick(time.Now(), need, func() float64 { return 0 })
	qt.Assert(t, verdict, qt.Equals, endpoints.None)
}

// Guards against a request that runs outside its home regions: it must run there or not at all, even when the nearest
// replica is elsewhere or the home's zone is evacuated.
func TestRequestRunsOnlyInHomeRegions(t *testing.T) {
	f := replicatest.New()
	table := newZonedTable(f, f.Dial, "a", "b", "c")
	s := table.Service("s")
	tests := []struct {
		homes     []string
		evacuated string
		want      string
	}{{nil, "", "a"}, {[]string{"far"}, "", "b"}, {[]string{"far", "near"}, "", "a"}, {[]string{"far"}, "b", ""}, {[]string{"elsewhere"}, "", ""}, {[]string{"far"}, "a", "b"}}
	for _, test := range tests {
		table.evacuate(test.evacuated)
		need := endpoints.Need{Need: pick.Need{Usual: 10 * time.Millisecond, Within: 100 * time.Millisecond}, Homes: test.homes}
		c, verdict := s.Pick(time.Now(), need, func() float64 { return 0 })
		comment := qt.Commentf("%v, %q is evacuated", test.homes, test.evacuated)
		qt.Check(t, verdict == endpoints.Found, qt.Equals, test.want != "", comment)
		qt.Check(t, s.Served(test.homes), qt.Equals, test.want != "", comment)
		if verdict == endpoints.Found {
			qt.Check(t, c.Replica.Zone(), qt.Equals, test.want, comment)
		}
	}
}

// Guards against a request that is sent after its zone was evacuated: it has chosen its replica and waits for a
// connection, which may take as long as the operator's limit on an evacuation.
func TestEvacuatedWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		slow := func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			return f.Dial(ctx, addr)
		}
		table := newZonedTable(f, slow, "a")
		r := table.Service("s").Replicas()[0]
		time.AfterFunc(20*time.Millisecond, func() { table.evacuate("a") })
		req := &opaque.Request{ID: "q", Method: "GET", Target: "/", Path: "/", Host: "h"}
		res := r.Send(t.Context(), endpoints.Call{Request: req, Deadline: time.Now().Add(time.Second), Connections: 1})
		qt.Assert(t, res.Kind, qt.Equals, upstream.KindNotSent)
		qt.Assert(t, table.replicas[0].Arrivals(), qt.Equals, 0)
	})
}

// Guards against a preference for a replica that has become cold while its zone was evacuated. Its measured replies
// were fast, but its row says that it is cold: a replica of another zone has to go first until that time is over.
func TestReplicaTurnsColdInEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		table := newZonedTable(f, f.Dial, "a", "b")
		s := table.Service("s")
		first := func() string {
			c, _ := s.Pick(time.Now(), endpoints.Need{Need: pick.Need{Usual: 10 * time.Millisecond, Within: 100 * time.Millisecond}}, func() float64 { return 0 })
			return c.Replica.Zone()
		}
		qt.Assert(t, first(), qt.Equals, "a")
		row := table.replicas[0].Row
		row.Cold = 3 * time.Second
		table.Change(changed(row, false), false)
		qt.Assert(t, first(), qt.Equals, "b")
		time.Sleep(3 * time.Second)
		qt.Assert(t, first(), qt.Equals, "a")
	})
}

// Guards against overload of a cold replica. Its zone is released, and its row does not say yet that it is cold; its
// limit is six requests a second, of which this host may send two. Until it is warm the others have to go to the other
// replica, or wait if there is none, since the replica would crash.
func TestColdReplicaLimit(t *testing.T) {
	for _, zones := range [][]string{{"a", "b"}, {"a"}} {
		synctest.Test(t, func(t *testing.T) {
			f := replicatest.New()
			table := newZonedTable(f, f.Dial, zones...)
			table.share = 2
			table.SetLimits(map[string]route.Service{"s": {MaxConns: 100, ColdFor: 3 * time.Second, ColdPerSecond: 6}})
			table.evacuate("a")
			table.evacuate("")
			s := table.Service("s")
			need := endpoints.Need{Need: pick.Need{Usual: 10 * time.Millisecond, Within: 100 * time.Millisecond}}
			cold, warm, waits := 0, 0, 0
			for n := range 400 {
				c, verdict := s.Pick(time.Now(), need, func() float64 { return 0 })
				if verdict == endpoints.Found {
					req := &opaque.Request{ID: fmt.Sprintf("q%d", n), Method: "GET", Target: "/", Path: "/", Host: "h"}
					go c.Replica.Send(t.Context(), endpoints.Call{Request: req, Deadline: time.Now().Add(time.Second), Connections: 9})
				}
				switch {
				case verdict == endpoints.Busy:
					waits++
				case c.Replica.Zone() == "a" && n < 300:
					cold++
				default:
					warm++
				}
				time.Sleep(10 * time.Millisecond)
			}
			qt.Check(t, cold <= 6, qt.IsTrue, qt.Commentf("%d while it was cold", cold))
			qt.Check(t, cold > 0, qt.Equals, len(zones) == 1)
			qt.Check(t, warm+waits, qt.Equals, 400-cold)
			qt.Check(t, waits > 0, qt.Equals, len(zones) == 1)
			f.Close()
		})
	}
}
