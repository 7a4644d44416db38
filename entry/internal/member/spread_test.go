package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against gossip whose traffic per host grows with the fleet, which fills the links of small hosts, and against
// a death that doesn't reach all hosts, which leaves clients at a dead address. One host is killed in fleets of 32 to
// 256 hosts: every other must drop it within a bounded time, at the same number of messages per host and second.
func TestDeathSpreadsWithConstantTrafficPerHost(t *testing.T) {
	for _, hosts := range []int{32, 128, 256} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			n := settledNetwork(hosts)
			n.run(30 * time.Second)
			victim := n.nodes[hosts/2]
			victim.up = false
			n.sent, n.rows = 0, 0
			const window = 40 * time.Second
			known := time.Duration(0)
			for known < window && !droppedByAll(n, victim) {
				n.run(time.Second)
				known += time.Second
			}
			sent, rows := float64(n.sent)/float64(hosts)/known.Seconds(), float64(n.rows)/float64(hosts)/known.Seconds()
			t.Logf("%d hosts: death known to all after %s; %.2f probes and %.2f rows per host and second", hosts, known, sent, rows)
			c.Assert(known <= 25*time.Second, qt.IsTrue, qt.Commentf("death not known to all hosts after %s", known))
			c.Assert(sent < 1.2, qt.IsTrue, qt.Commentf("%.2f probes per host and second", sent))
			c.Assert(rows < 4, qt.IsTrue, qt.Commentf("%.2f rows per host and second", rows))
		})
	}
}

// settledNetwork returns a network whose hosts all list each other and have no rows queued.
func settledNetwork(hosts int) *network {
	n := newNetwork(5, hosts)
	n.noDirectory = true
	rows := make([]Host, hosts)
	for i, nd := range n.nodes {
		rows[i] = nd.list.Self()
	}
	for _, nd := range n.nodes {
		nd.list.MergeRepaired(n.now, rows)
		clear(nd.list.queuedRows)
	}
	return n
}

func droppedByAll(n *network, victim *node) bool {
	id := victim.list.Self().ID
	for _, nd := range n.nodes {
		if nd != victim && stateOf(nd.list, id) != StateDead {
			return false
		}
	}
	return true
}
