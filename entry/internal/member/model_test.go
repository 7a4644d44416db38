package member

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	modelSeeds = 1000
	modelHosts = 6
	faultTime  = 40 * time.Second
	// healTime covers the death of the last suspects and the contact with hosts that were cut off.
	healTime = 60 * time.Second
)

// Guards against an old row that overrides a newer one, which restores hosts that ended or drops running ones, so that
// clients are directed to a dead address. Hosts are paused, cut off by zone, killed and restarted while messages are
// lost, duplicated and reordered. After the faults every host must list exactly the running incarnations, and no list
// may ever go back to an older epoch of a host.
func TestModelConvergesAfterFaults(t *testing.T) {
	var workers sync.WaitGroup
	seeds := make(chan uint64)
	for range 4 {
		workers.Go(func() {
			for seed := range seeds {
				if err := runFaults(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
	for seed := range uint64(modelSeeds) {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
}

func runFaults(seed uint64) (err error) {
	n := newNetwork(seed, modelHosts)
	n.loss, n.duplication = 0.3*n.rnd.Float64(), 0.3*n.rnd.Float64()
	n.check = func(nd *node) {
		for _, h := range nd.list.Hosts() {
			if h.Epoch < nd.epochs[h.ID] && err == nil {
				err = fmt.Errorf("%s went back from epoch %d to %d of %s", nd.list.Self().ID, nd.epochs[h.ID], h.Epoch, h.ID)
			}
			nd.epochs[h.ID] = h.Epoch
		}
	}
	for end := n.now.Add(faultTime); n.now.Before(end); {
		injectFault(n)
		n.run(time.Duration(n.rnd.IntN(4000)) * time.Millisecond)
	}
	heal(n)
	n.run(healTime)
	if err != nil {
		return err
	}
	return checkConverged(n)
}

func injectFault(n *network) {
	nd := n.nodes[n.rnd.IntN(len(n.nodes))]
	switch n.rnd.IntN(6) {
	case 0:
		nd.up = false
	case 1:
		nd.up = false
		n.start(nd)
	case 2:
		nd.paused = n.now.Add(time.Duration(n.rnd.IntN(20)) * time.Second)
	case 3:
		n.partitioned = !n.partitioned
	case 4:
		nd.list.Leave()
	case 5:
		nd.list.SetLoad(n.rnd.Float64())
	}
}

func heal(n *network) {
	n.loss, n.duplication, n.partitioned = 0, 0, false
	for _, nd := range n.nodes {
		if n.now.Before(nd.paused) {
			nd.paused = n.now
		}
		if !nd.up {
			n.start(nd)
		}
	}
}

func checkConverged(n *network) error {
	for _, nd := range n.nodes {
		hosts := nd.list.Hosts()
		if len(hosts) != len(n.nodes) {
			return fmt.Errorf("%s lists %d hosts, want %d: %v", nd.list.Self().ID, len(hosts), len(n.nodes), hosts)
		}
		for _, h := range hosts {
			self := n.find(h.Peer).list.Self()
			if h.ID != self.ID || h.Epoch != self.Epoch || h.State != self.State {
				return fmt.Errorf("%s lists %s as %s at epoch %d; it is %s, %s at %d", nd.list.Self().ID, h.ID, h.State, h.Epoch, self.ID, self.State, self.Epoch)
			}
		}
	}
	return nil
}

// Guards against new hosts that lose each other when an operator replaces every host, one after another, by one at
// another address: in the end none of the first addresses answers, and each host must still list all the others.
func TestAllHostsReplacedOneAfterAnother(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7, 7)
	n.run(20 * time.Second)
	for _, nd := range n.nodes {
		nd.list.Leave()
		n.run(3 * time.Second)
		nd.up = false
		n.move(nd)
		n.start(nd)
		n.run(10 * time.Second)
	}
	n.run(20 * time.Second)
	c.Assert(checkConverged(n), qt.IsNil)
}

// Guards against a host that stays dead for the others, or suspects healthy hosts, after its process was stopped for
// half a minute: the others have declared it dead, and all its own probes are overdue.
func TestPausedHostRejoinsAndSuspectsNobody(t *testing.T) {
	for seed := range uint64(50) {
		c := qt.New(t)
		seedIs := qt.Commentf("seed %d", seed)
		n := newNetwork(seed, 7)
		n.run(20*time.Second + time.Duration(seed)*37*time.Millisecond)
		paused := n.nodes[4]
		paused.paused = n.now.Add(30 * time.Second)
		n.run(29 * time.Second)
		c.Assert(n.nodes[0].list.Hosts(), qt.HasLen, 6, seedIs)
		n.run(15 * time.Second)
		c.Assert(checkConverged(n), qt.IsNil, seedIs)
		for _, nd := range n.nodes {
			if nd != paused {
				c.Assert(nd.list.Self().Epoch, qt.Equals, uint64(1), seedIs)
			}
		}
	}
}

// Guards against zones that stay apart after a partition: the link between them and the platform's directory are down
// for twenty minutes, so each zone declares the others dead. When the link is back, each host must list all the others
// within a minute without the directory.
func TestPartitionedZonesRejoinWithoutDirectory(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(11, 9)
	n.run(20 * time.Second)
	n.partitioned, n.noDirectory = true, true
	n.run(20 * time.Minute)
	c.Assert(n.nodes[0].list.Hosts(), qt.HasLen, 3)
	n.partitioned = false
	n.run(time.Minute)
	c.Assert(checkConverged(n), qt.IsNil)
}
