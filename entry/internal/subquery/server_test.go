package subquery_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/entry/internal/subquery"
	"guavaspring.org/platform/wire"
)

const shards = 3

// bed is a host that takes subqueries over three shards.
type bed struct {
	server   *subquery.Server
	replicas []*replicatest.Replica
	version  int64
	leaving  bool
}

func newBed(t *testing.T) *bed {
	farm := replicatest.New()
	t.Cleanup(farm.Close)
	b := &bed{version: 7}
	for i := range shards {
		name := string(rune('a' + i))
		b.replicas = append(b.replicas, farm.Add(name, 1, replicatest.OK(name, 30*time.Millisecond, "0123456789abcde"+name)))
	}
	codec := wire.Codec()
	table := endpoints.New(endpoints.Options{
		Clock: clock.System{}, Log: logr.Discard(), Zone: "a", Codec: &codec, Dial: farm.Dial, Share: func() float64 { return 1 },
	})
	table.Replace(farm.Batch(), false)
	b.server = subquery.NewServer(subquery.Options{
		Clock: clock.System{}, Service: table.Service, Version: func() int64 { return b.version }, Leaving: func() bool { return b.leaving },
		Quarantine: quarantine.New(quarantine.Options{Clock: clock.System{}}), Draw: func() float64 { return 0 },
	})
	return b
}

func args() *subquery.Args {
	return &subquery.Args{
		Job: 1, Version: 7, Request: opaque.Request{ID: "q", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, Shards: []string{"a", "b", "c"},
		Top: 2, Left: time.Second, First: 60 * time.Millisecond, Within: 200 * time.Millisecond, Usual: 30 * time.Millisecond, Fingerprint: "fp",
	}
}

func (b *bed) arrivals() int {
	n := 0
	for _, r := range b.replicas {
		n += r.Arrivals()
	}
	return n
}

// A host asks another one for parts of a page. All that were in time come with the greatest records of them in one
// list.
func TestPartsComeMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		var rep subquery.Reply
		qt.Assert(t, b.server.Gather(args(), &rep), qt.IsNil)
		qt.Check(t, rep.Declined, qt.Equals, "")
		qt.Check(t, rep.Parts, qt.HasLen, shards)
		qt.Check(t, rep.Pending, qt.HasLen, 0)
		qt.Check(t, string(rep.Records), qt.Equals, "0123456789abcdec0123456789abcdeb")
		qt.Check(t, b.server.Running(), qt.Equals, 0)
	})
}

// A subquery comes to a host that must not send it: it leaves, has another configuration in force, or the deadline has
// passed on the way. Nothing may reach a replica, so that the host that asked can send the tries itself.
func TestDeclinedSendsNothing(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *bed, a *subquery.Args)
		want   string
	}{
		{"leaving", func(b *bed, _ *subquery.Args) { b.leaving = true }, "the host is leaving"},
		{"an older configuration here", func(b *bed, _ *subquery.Args) { b.version = 6 }, "another configuration is in force"},
		{"a newer configuration here", func(b *bed, _ *subquery.Args) { b.version = 8 }, "another configuration is in force"},
		{"late", func(_ *bed, a *subquery.Args) { a.Left = 0 }, "the deadline has passed"},
		{"hostile", func(_ *bed, a *subquery.Args) { a.Shards = make([]string, 5000) }, "too many shards"},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			b, a := newBed(t), args()
			test.change(b, a)
			var rep subquery.Reply
			qt.Assert(t, b.server.Gather(a, &rep), qt.IsNil)
			qt.Check(t, rep.Declined, qt.Equals, test.want, qt.Commentf(test.name))
			time.Sleep(time.Second)
			qt.Check(t, b.arrivals(), qt.Equals, 0, qt.Commentf(test.name))
			qt.Check(t, b.server.Running(), qt.Equals, 0)
		})
	}
}

// The host that asked is lost while a replica is slow. Nobody asks for the rest; the try must not go on for long, and
// the subquery be forgotten.
func TestNobodyAsksForTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.replicas[1].Handle = replicatest.OK("b", 5*time.Second, "0123456789abcdeb")
		var rep subquery.Reply
		qt.Assert(t, b.server.Gather(args(), &rep), qt.IsNil)
		qt.Check(t, rep.Parts, qt.HasLen, shards-1)
		qt.Check(t, rep.Pending, qt.DeepEquals, []subquery.Pending{{Shard: 1, Replica: "b-1"}})
		qt.Check(t, b.server.Running(), qt.Equals, 1)
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, b.server.Running(), qt.Equals, 0)
		time.Sleep(5 * time.Second)
	})
}

// A replica is slow, and the host that asked goes on asking. The subquery must live as long as it does, and tell the
// part once it is there.
func TestRestIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.replicas[1].Handle = replicatest.OK("b", 900*time.Millisecond, "0123456789abcdeb")
		var rep subquery.Reply
		qt.Assert(t, b.server.Gather(args(), &rep), qt.IsNil)
		for range 4 {
			rep = subquery.Reply{}
			qt.Assert(t, b.server.Rest(&subquery.RestArgs{Job: 1, Wait: 250 * time.Millisecond}, &rep), qt.IsNil)
		}
		qt.Check(t, rep.Pending, qt.HasLen, 0)
		qt.Assert(t, rep.Parts, qt.HasLen, 1)
		qt.Check(t, string(rep.Parts[0].Body), qt.Equals, "0123456789abcdeb")
		qt.Check(t, b.server.Running(), qt.Equals, 0)
	})
}

// The host that asked has given up: its client left. The tries end at once, and a second call of the same name sends
// nothing more meanwhile.
func TestDropEndsTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.replicas[1].Handle = replicatest.OK("b", 5*time.Second, "0123456789abcdeb")
		var rep, again subquery.Reply
		qt.Assert(t, b.server.Gather(args(), &rep), qt.IsNil)
		qt.Assert(t, b.server.Gather(args(), &again), qt.IsNil)
		qt.Check(t, again.Declined, qt.Not(qt.Equals), "")
		qt.Assert(t, b.server.Drop(&subquery.DropArgs{Job: 1}, nil), qt.IsNil)
		qt.Check(t, b.server.Running(), qt.Equals, 0)
		qt.Check(t, b.arrivals(), qt.Equals, shards)
		time.Sleep(5 * time.Second)
	})
}
