package peers

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/member"
)

// nextFour lets each of some hosts look after the next four of them.
func nextFour(hosts []*testHost) func(h *testHost) []member.Host {
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

// knowing counts the hosts, of those that have power, that hold another one to be in a state.
func knowing(f *fleet, hosts []*testHost, other *testHost, state member.State) int {
	n := 0
	for _, h := range hosts {
		f.mu.Lock()
		dark := f.dark[h.addr]
		f.mu.Unlock()
		if dark {
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

// Story: a zone of three loses power, with two of the six hosts that callers are sent to. Any host may be asked where
// to connect, and each connection to one of the two costs a caller a second. All that are left must know of both within
// two seconds.
func TestLostZoneIsKnownEverywhereWithinTwoSeconds(t *testing.T) {
	play(t, 60, func(f *fleet, hosts []*testHost) {
		f.watch(nextFour(hosts[:6]))
		time.Sleep(2 * time.Second)
		lost := 0
		for _, h := range hosts {
			if h.list.Self().Zone == "zone-1" {
				f.lose(h)
				lost++
			}
		}
		time.Sleep(2 * time.Second)
		for _, h := range hosts[:6] {
			if h.list.Self().Zone == "zone-1" {
				qt.Check(t, knowing(f, hosts, h, member.StateSuspect), qt.Equals, len(hosts)-lost)
			}
		}
	})
}

// Story: a host that callers are sent to is taken for lost though it lives, as its connections had fallen silent.
// Callers are kept from it until it has shown that it is alive, which must be known everywhere within a second and a
// half.
func TestWronglySuspectedHostIsBackAtOnce(t *testing.T) {
	play(t, 60, func(f *fleet, hosts []*testHost) {
		f.watch(nextFour(hosts[:6]))
		time.Sleep(2 * time.Second)
		accused := hosts[2].list.Self()
		row, ok := hosts[0].list.Unreachable(time.Now(), accused, time.Now())
		qt.Assert(t, ok, qt.IsTrue)
		hosts[0].peers.news.Push(item{host: row})
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, knowing(f, hosts, hosts[2], member.StateAlive), qt.Equals, len(hosts))
	})
}

// Guards against a host that finds out by a comparison of tables that it is accused, and tells nobody that it lives.
func TestAccusedHostThatLearnsByRepairIsBackAtOnce(t *testing.T) {
	play(t, 60, func(f *fleet, hosts []*testHost) {
		f.watch(nextFour(hosts[:6]))
		time.Sleep(2 * time.Second)
		accused := hosts[2].list.Self()
		row, ok := hosts[0].list.Unreachable(time.Now(), accused, time.Now())
		qt.Assert(t, ok, qt.IsTrue)
		hosts[2].peers.take(hosts[0].addr, Rows{Members: []member.Host{row}})
		hosts[0].peers.news.Push(item{host: row})
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, knowing(f, hosts, hosts[2], member.StateAlive), qt.Equals, len(hosts))
	})
}
