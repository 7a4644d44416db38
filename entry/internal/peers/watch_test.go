package peers

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/member"
)

// watchNextFour makes each of hosts watch the next four of them.
func watchNextFour(hosts []*testHost) func(h *testHost) []member.Host {
	return func(h *testHost) []member.Host {
		at := slices.Index(hosts, h)
		if at < 0 {
			return nil
		}
		var list []member.Host
		for n := 1; n <= 4; n++ {
			list = append(list, hosts[(at+n)%len(hosts)].list.Self())
		}
		return list
	}
}

// countState returns the number of hosts with power whose member list has other in state.
func countState(f *fleet, hosts []*testHost, other *testHost, state member.State) int {
	n := 0
	for _, h := range hosts {
		f.mu.Lock()
		off := f.poweredOff[h.addr]
		f.mu.Unlock()
		if off {
			continue
		}
		for _, row := range h.list.Hosts() {
			if row.ID == other.list.Self().ID && row.State == state {
				n++
			}
		}
	}
	return n
}

// Guards against hosts that direct clients to serving hosts of a lost zone, where each connection attempt costs a
// client a second. One of three zones loses power, with two of the six serving hosts; since clients may ask any host
// for addresses, all that are left must suspect both within two seconds.
func TestLostZoneIsKnownEverywhereWithinTwoSeconds(t *testing.T) {
	runFleet(t, 60, func(f *fleet, hosts []*testHost) {
		f.setWatched(watchNextFour(hosts[:6]))
		time.Sleep(2 * time.Second)
		lost := 0
		for _, h := range hosts {
			if h.list.Self().Zone == "zone-1" {
				f.powerOff(h)
				lost++
			}
		}
		time.Sleep(2 * time.Second)
		for _, h := range hosts[:6] {
			if h.list.Self().Zone == "zone-1" {
				qt.Check(t, countState(f, hosts, h, member.StateSuspect), qt.Equals, len(hosts)-lost)
			}
		}
	})
}

// Guards against a serving host that stays suspect though it is alive, as after its connections became silent. Clients
// are directed away from it until it has refuted, which must reach all hosts within a second and a half.
func TestWronglySuspectedHostIsBackAtOnce(t *testing.T) {
	runFleet(t, 60, func(f *fleet, hosts []*testHost) {
		f.setWatched(watchNextFour(hosts[:6]))
		time.Sleep(2 * time.Second)
		suspected := hosts[2].list.Self()
		row, ok := hosts[0].list.MarkUnreachable(time.Now(), suspected, time.Now())
		qt.Assert(t, ok, qt.IsTrue)
		hosts[0].peers.newsQueue.Push(newsItem{host: row})
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, countState(f, hosts, hosts[2], member.StateAlive), qt.Equals, len(hosts))
	})
}

// Guards against a host that receives the suspicion of itself by a repair and does not announce its refutation.
func TestAccusedHostThatLearnsByRepairIsBackAtOnce(t *testing.T) {
	runFleet(t, 60, func(f *fleet, hosts []*testHost) {
		f.setWatched(watchNextFour(hosts[:6]))
		time.Sleep(2 * time.Second)
		suspected := hosts[2].list.Self()
		row, ok := hosts[0].list.MarkUnreachable(time.Now(), suspected, time.Now())
		qt.Assert(t, ok, qt.IsTrue)
		hosts[2].peers.mergeRows(hosts[0].addr, Rows{Members: []member.Host{row}})
		hosts[0].peers.newsQueue.Push(newsItem{host: row})
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, countState(f, hosts, hosts[2], member.StateAlive), qt.Equals, len(hosts))
	})
}
