package peers

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/platform"
)

func replicasOf(n int, state platform.ReplicaState) []platform.Replica {
	var list []platform.Replica
	for i := range n {
		list = append(list, platform.Replica{ID: fmt.Sprintf("r-%04d", i), Service: "donor-desk", State: state})
	}
	return list
}

// readList makes h merge list as a read of the platform's replica list.
func (h *testHost) readList(list []platform.Replica) {
	h.peers.AnnounceReplicas(h.rows.ApplyRead(time.Now(), h.rows.Changes(), list))
}

func assertSameRows(c *qt.C, hosts []*testHost, want []platform.Replica) {
	for i, h := range hosts {
		list, _ := h.rows.List()
		c.Assert(len(list), qt.Equals, len(want), qt.Commentf("host %d", i+1))
		c.Assert(list[0], qt.Equals, want[0], qt.Commentf("host %d", i+1))
		c.Assert(h.rows.Total(), qt.Equals, hosts[0].rows.Total(), qt.Commentf("host %d", i+1))
	}
}

// Guards against changes of the replica list that reach other hosts late or never, so that they call a removed replica
// or leave a returned one idle. One of nine hosts reads the list; each change must be at all hosts within 3 s, and a
// host that starts during an outage of the platform, with a single contact, must have every row.
func TestReplicaRowsReachEveryHost(t *testing.T) {
	runFleet(t, 9, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		list := replicasOf(600, "live")
		hosts[4].readList(list)
		time.Sleep(20 * time.Second)
		assertSameRows(c, hosts, list)
		for _, step := range [][]platform.Replica{list[1:], list, replicasOf(1, "draining")} {
			if len(step) == 1 {
				step = append(step, list[1:]...)
			}
			hosts[4].readList(step)
			time.Sleep(3 * time.Second)
			assertSameRows(c, hosts, step)
		}
		late := f.start(20)
		time.Sleep(4 * time.Second)
		rows, ok := late.rows.List()
		c.Assert(ok, qt.IsTrue)
		c.Assert(rows, qt.HasLen, 600)
		c.Assert(late.rows.Total(), qt.Equals, hosts[0].rows.Total())
	})
}

// Guards against replica rows that stay wrong when more change at once than news carries: the platform returns half of
// its list and then the whole, so some 600 rows change. Repairs by the sums must bring all hosts to the last read.
func TestSumsCarryWhatTellingsCannot(t *testing.T) {
	runFleet(t, 6, func(_ *fleet, hosts []*testHost) {
		c := qt.New(t)
		list := replicasOf(1200, "live")
		hosts[0].readList(list)
		time.Sleep(20 * time.Second)
		hosts[0].readList(list[:600])
		time.Sleep(time.Second)
		hosts[0].readList(list)
		time.Sleep(40 * time.Second)
		assertSameRows(c, hosts, list)
	})
}
