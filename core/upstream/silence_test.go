package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
)

type detectorTest struct {
	s         *silenceDetector
	refreshed atomic.Int32
}

func newDetectorTest() *detectorTest {
	r := &detectorTest{}
	r.s = newSilenceDetector(clock.System{}, func(time.Time) { r.refreshed.Add(1) })
	for range 8 {
		r.answer(10 * time.Millisecond)
	}
	return r
}

// answer simulates one request that the replica answers after d.
func (r *detectorTest) answer(d time.Duration) {
	at := &attempt{silence: r.s, countsLatency: true}
	r.s.sent(at)
	time.Sleep(d)
	at.gotFirstByte()
}

func (r *detectorTest) startRequest() (at *attempt, gaveUp *atomic.Bool) {
	gaveUp = &atomic.Bool{}
	at = &attempt{silence: r.s, countsLatency: true, cancel: func() { gaveUp.Store(true) }}
	r.s.sent(at)
	return at, gaveUp
}

// A query is sent on a connection whose state a firewall has dropped, and hangs until its deadline although the replica
// answers other requests. A query on a replica where all requests are slow must not be canceled.
func TestSilentConnectionIsToldFromSlowReplica(t *testing.T) {
	for _, test := range []struct {
		name   string
		others time.Duration
		gaveUp bool
	}{
		{"the replica answers other requests in time", 10 * time.Millisecond, true},
		{"the whole replica is slow", time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newDetectorTest()
				at, gaveUp := r.startRequest()
				var others sync.WaitGroup
				for range 8 {
					others.Go(func() { r.answer(test.others) })
					time.Sleep(10 * time.Millisecond)
				}
				synctest.Wait()
				qt.Assert(t, gaveUp.Load(), qt.Equals, test.gaveUp)
				r.s.ended(at)
				others.Wait()
			})
		})
	}
}

// All open connections to a replica become silent at once, so no later request can overtake an earlier one: each next
// request is on a silent connection too. The idle connections must be replaced without proof, once a second.
func TestStuckReplicaGetsFreshConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newDetectorTest()
		at, gaveUp := r.startRequest()
		time.Sleep(900 * time.Millisecond)
		qt.Assert(t, r.refreshed.Load(), qt.Equals, int32(1))
		qt.Assert(t, gaveUp.Load(), qt.IsFalse)
		time.Sleep(2 * time.Second)
		qt.Assert(t, r.refreshed.Load() <= 3, qt.IsTrue)
		r.s.ended(at)
	})
}

// One real connection becomes silent during a query while later queries are answered on others. The query must end with
// KindSilent before its deadline (it has none here), so that it can be retried.
func TestLookupOnSilentConnectionIsGivenBack(t *testing.T) {
	lost := make(chan struct{})
	p := newFakeReplica(t, func(c net.Conn, id string, nth int) bool {
		if id == "lost" {
			close(lost)
			<-t.Context().Done()
			return false
		}
		return writeReply(c, 200, "", `{"request_id":"`+id+`","version":1,"shard":0}`)
	})
	c := newTestClient(t, Options{MaxConns: 3})
	query := func(id string) Result {
		return c.Query(t.Context(), p.addr(), QueryAttempt{ID: id, Version: 1, Body: []byte("{}")})
	}
	qt.Assert(t, query("first").Kind, qt.Equals, KindOK)
	kinds := make(chan Kind, 1)
	go func() { kinds <- query("lost").Kind }()
	<-lost
	for {
		select {
		case kind := <-kinds:
			qt.Assert(t, kind, qt.Equals, KindSilent)
			return
		default:
			qt.Assert(t, query("next").Kind, qt.Equals, KindOK)
		}
	}
}
