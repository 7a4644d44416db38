package front

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/member"
)

func inZones(n int, zones ...string) []member.Host {
	list := make([]member.Host, n)
	for i := range list {
		list[i] = member.Host{ID: fmt.Sprintf("h%d", i), Zone: zones[i%len(zones)], Region: "r", State: member.StateAlive}
	}
	return list
}

// Guards against subqueries spread over too many hosts, which leaves connections idle, and against all hosts choosing
// the same few: each host uses a few hosts of a zone, and together they use most.
func TestSubqueriesGoToFewHosts(t *testing.T) {
	for _, n := range []int{6, 15, 84, 295} {
		hosts := inZones(n, "a", "b", "c")
		used := map[string]int{}
		for _, self := range hosts {
			z := byZone(self, hosts)
			qt.Check(t, len(z.names), qt.Equals, 2)
			for name, list := range z.hosts {
				qt.Check(t, name, qt.Not(qt.Equals), self.Zone)
				qt.Check(t, len(list) <= maxPeersPerZone && len(list) > 0, qt.IsTrue)
				for _, h := range list {
					qt.Check(t, h.Zone, qt.Equals, name)
					used[h.ID]++
				}
			}
		}
		qt.Check(t, len(used) > n/2, qt.IsTrue, qt.Commentf("%d of %d hosts are used", len(used), n))
	}
	elsewhere := inZones(3, "b")
	elsewhere[0].Region = "other"
	qt.Check(t, byZone(member.Host{ID: "self", Zone: "a", Region: "r"}, elsewhere).hosts["b"], qt.HasLen, 2)
}

// Guards against subqueries to a host that did not answer: they skip it until the member list has had time to drop it,
// and use it again afterwards.
func TestHostThatDidNotAnswerRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := byZone(member.Host{ID: "self", Zone: "a", Region: "r"}, inZones(2, "b"))
		s := &subqueryPeers{clock: clock.System{}, backoff: map[string]time.Time{}, hosts: func() zoneHosts { return z }}
		s.markFailed("h0")
		for range 20 {
			p, ok := s.peer("b")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, p.ID, qt.Equals, "h1")
		}
		s.markFailed("h1")
		_, ok := s.peer("b")
		qt.Check(t, ok, qt.IsFalse)
		time.Sleep(peerBackoff)
		_, ok = s.peer("b")
		qt.Check(t, ok, qt.IsTrue)
		_, ok = s.peer("c")
		qt.Check(t, ok, qt.IsFalse)
	})
}
