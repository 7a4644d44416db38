package replica_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/replica"
)

func rows(n int) []platform.Replica {
	var list []platform.Replica
	for i := range n {
		list = append(list, platform.Replica{ID: fmt.Sprintf("r%d", i), Addr: addr(i), Zone: "osborne-hall", State: platform.StateLive})
	}
	return list
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 9000)
}

// One replica of thirty starts with index version 7 split into 11 shards, the others with 10. If the first reply
// decided the number of shards, one misconfigured replica that starts early would take all others out of version 7, and
// responses would be almost empty.
func TestOneReplicaThatDisagreesOnTheCut(t *testing.T) {
	for first := range 2 {
		table := replica.New(replica.Options{})
		added, _ := table.Update(rows(5))
		said := []string{"7=0/11", "7=0/10", "7=1/10", "7=0/10", "7=1/10"}
		for i := range added {
			k := (i + first*4) % 5
			table.ApplyReply(added[k], said[k], false)
		}
		versions := table.View().Versions
		qt.Assert(t, versions, qt.HasLen, 2)
		qt.Assert(t, versions[0].Holders, qt.HasLen, 10)
		qt.Assert(t, versions[0].Held, qt.Equals, 2)
		qt.Assert(t, versions[1].Held, qt.Equals, 1)
	}
}

// A replica drops index version 7, and its health endpoint still names it for a while. If the endpoint took precedence
// over the rejection, queries would be pinned to version 7 again and their coverage would drop.
func TestRefusedVersionIsNotBelievedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := replica.New(replica.Options{})
		added, _ := table.Update(rows(1))
		r := added[0]
		table.ApplyReply(r, "7=0/1,8=0/1", false)
		table.ApplyReply(r, "7=0/1,8=0/1", false)
		table.Gone(r, 7)
		qt.Assert(t, versionsOf(table), qt.DeepEquals, []int64{8})
		table.ApplyReply(r, "8=0/1", false)
		table.ApplyHealthCheck(r, "7=0/1,8=0/1", false)
		qt.Assert(t, versionsOf(table), qt.DeepEquals, []int64{8})
		time.Sleep(6 * time.Second)
		table.ApplyHealthCheck(r, "7=0/1,8=0/1", false)
		qt.Assert(t, versionsOf(table), qt.DeepEquals, []int64{8})
	})
}

// A replica starts to drain. This becomes known by a reply, the platform's list or another host; after any of these no
// query may be sent to it. A new process at the same address must get queries.
func TestLeavingReplicaGetsNoWork(t *testing.T) {
	for _, test := range []struct {
		name string
		sign func(table *replica.Table, r *replica.Replica)
	}{
		{"a reply's header", func(table *replica.Table, r *replica.Replica) { table.ApplyReply(r, "", true) }},
		{"another host", func(table *replica.Table, r *replica.Replica) { table.MarkDraining(r.ID, "another host") }},
		{"the platform's list", func(table *replica.Table, _ *replica.Replica) {
			list := rows(1)
			list[0].State = platform.StateLeaving
			table.Update(list)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			signs := []string{}
			table := replica.New(replica.Options{Draining: func(_ *replica.Replica, sign string) { signs = append(signs, sign) }})
			added, _ := table.Update(rows(1))
			table.ApplyReply(added[0], "7=0/1", false)
			test.sign(table, added[0])
			test.sign(table, added[0])
			qt.Assert(t, table.View().Versions, qt.HasLen, 0)
			qt.Assert(t, signs, qt.DeepEquals, []string{test.name})

			// An outdated list still names it live; it stays draining.
			table.Update(rows(1))
			qt.Assert(t, table.View().Replicas, qt.HasLen, 0)

			again := rows(1)
			again[0].ID = "r-new"
			fresh, gone := table.Update(again)
			table.ApplyReply(fresh[0], "7=0/1", false)
			qt.Assert(t, gone, qt.HasLen, 1)
			qt.Assert(t, table.View().Versions, qt.HasLen, 1)
		})
	}
}

// A health endpoint reports a serving replica as draining. If that were final, one faulty endpoint would remove a
// replica for good; it counts only without a recent reply, and only as long as the endpoint repeats it.
func TestClaimToBeLeavingIsNotFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := replica.New(replica.Options{})
		added, _ := table.Update(rows(1))
		r := added[0]
		table.ApplyReply(r, "7=0/1", false)
		table.ApplyHealthCheck(r, "7=0/1", true)
		qt.Assert(t, table.View().Replicas, qt.HasLen, 1)
		time.Sleep(6 * time.Second)
		table.ApplyHealthCheck(r, "7=0/1", true)
		qt.Assert(t, table.View().Replicas, qt.HasLen, 0)
		qt.Assert(t, table.Unheard(), qt.HasLen, 1)
		table.ApplyHealthCheck(r, "7=0/1", false)
		qt.Assert(t, table.View().Replicas, qt.HasLen, 1)
	})
}

// After an outage the platform's list is empty for a minute while every replica serves; if the list were applied, every
// query in that minute would be rejected. Replicas that have stopped don't answer and are dropped. If a list omits only
// a few replicas, they are leaving.
func TestShortListIsDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doubts := 0
		table := replica.New(replica.Options{Doubted: func(int, int) { doubts++ }})
		added, _ := table.Update(rows(6))
		answer := func(n int) {
			for _, r := range added[:n] {
				table.ApplyReply(r, "7=0/1", false)
			}
		}
		answer(6)
		for range 60 {
			time.Sleep(time.Second)
			table.Update(nil)
			answer(4)
		}
		qt.Assert(t, table.View().Replicas, qt.HasLen, 4)
		qt.Assert(t, doubts > 50, qt.IsTrue)
		table.Update(rows(3))
		qt.Assert(t, table.View().Replicas, qt.HasLen, 3)
		time.Sleep(6 * time.Second)
		table.Update(nil)
		qt.Assert(t, table.View().Replicas, qt.HasLen, 0)
	})
}

// A new process replaces a replica at its address, and the list names both for a while. If both rows were applied in
// turn, each update would discard the state of the new process, and its shard would lack a replica as long as both are
// listed.
func TestTwoProcessesListedAtOneAddress(t *testing.T) {
	table := replica.New(replica.Options{})
	table.Update(rows(1))
	for _, state := range []platform.ReplicaState{platform.StateLeaving, platform.StateLive} {
		for _, turn := range []int{0, 1} {
			both := append(rows(1), rows(1)...)
			both[turn].ID, both[1-turn].State = "new", state
			added, _ := table.Update(both)
			for _, r := range added {
				table.ApplyReply(r, "7=0/1", false)
			}
			table.Update(both)
			added, _ = table.Update(both)
			qt.Assert(t, added, qt.HasLen, 0)
			qt.Assert(t, table.View().Versions, qt.HasLen, 1)
			qt.Assert(t, table.View().Replicas[0].ID, qt.Equals, "new")
		}
	}
}

func versionsOf(table *replica.Table) []int64 {
	var list []int64
	for _, vm := range table.View().Versions {
		list = append(list, vm.Version)
	}
	return list
}
