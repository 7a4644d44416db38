package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"guavaspring.org/entry/internal/digest"
)

// network carries messages between lists in virtual time, with configurable loss, duplication, delay and partitions.
type network struct {
	rnd         *rand.Rand
	now         time.Time
	events      eventHeap
	seq         int
	nodes       []*node
	loss        float64
	duplication float64
	partitioned bool
	// noDirectory makes the directory unavailable, so that hosts contact only those in their lists.
	noDirectory bool
	starts      int
	moves       int
	sent        int
	rows        int
	// check is called with a node after each message it received.
	check func(n *node)
}

type node struct {
	list   *List
	addr   netip.AddrPort
	zone   int
	up     bool
	paused time.Time
	// repaired is when the node last compared tables; the rate is bounded as in the real network.
	repaired time.Time
	epochs   map[string]uint64
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newNetwork(seed uint64, hosts int) *network {
	n := &network{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0)}
	for i := range hosts {
		n.nodes = append(n.nodes, &node{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1), zone: i % 3})
	}
	for _, nd := range n.nodes {
		n.start(nd)
	}
	return n
}

// move gives the node a new, unused address.
func (n *network) move(nd *node) {
	n.moves++
	nd.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n.moves >> 8), byte(n.moves)}), 1)
}

// start runs a new incarnation on the node, which joins through the directory.
func (n *network) start(nd *node) {
	n.starts++
	self := Host{ID: fmt.Sprintf("host-%d", n.starts), Peer: nd.addr, Caller: nd.addr, Zone: fmt.Sprint("zone-", nd.zone), Region: "r"}
	nd.list = New(Options{Self: self, Rand: rand.New(rand.NewPCG(n.rnd.Uint64(), 2))})
	nd.up, nd.paused, nd.epochs = true, time.Time{}, map[string]uint64{}
	mine := nd.list
	n.repeat(nd, mine, 500*time.Millisecond, func() { mine.Tick(n.now) })
	n.repeat(nd, mine, ProbeEvery, func() {
		if target, ok := mine.NextProbe(); ok {
			n.probe(nd, target)
		}
	})
	n.repeat(nd, mine, 5*time.Second, func() { n.contact(nd) })
}

// contact calls those of the first two nodes that aren't listed, which stand for the platform's directory, and one lost
// host.
func (n *network) contact(nd *node) {
	known := map[netip.AddrPort]bool{}
	for _, h := range nd.list.Hosts() {
		known[h.Peer] = true
	}
	for _, listed := range n.nodes[:min(2, len(n.nodes))] {
		if !known[listed.addr] && !n.noDirectory {
			n.call(nd, listed.addr, "", func(Message) {}, func() {})
		}
	}
	if lost, ok := nd.list.LostHost(); ok {
		n.call(nd, lost.Peer, lost.ID, func(Message) {}, func() {})
	}
}

func (n *network) at(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{at: n.now.Add(d), seq: n.seq, run: f})
}

// later runs f after d, or after the pause that this falls into, unless the incarnation has ended.
func (n *network) later(nd *node, d time.Duration, f func()) {
	l := nd.list
	var due func()
	due = func() {
		switch {
		case nd.list != l || !nd.up:
		case n.now.Before(nd.paused):
			n.at(nd.paused.Sub(n.now), due)
		default:
			f()
		}
	}
	n.at(d, due)
}

// repeat runs f every d while this incarnation runs.
func (n *network) repeat(nd *node, l *List, d time.Duration, f func()) {
	var again func()
	again = func() {
		if nd.list == l {
			f()
			n.later(nd, d, again)
		}
	}
	n.later(nd, time.Duration(n.rnd.Int64N(int64(d))), again)
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *network) find(addr netip.AddrPort) *node {
	for _, nd := range n.nodes {
		if nd.addr == addr {
			return nd
		}
	}
	return nil
}

// deliver runs f at the receiver after a random delay, perhaps twice, unless it is lost; a paused receiver runs it when
// it resumes.
func (n *network) deliver(from, to *node, f func()) {
	if to == nil || n.rnd.Float64() < n.loss || n.partitioned && from.zone != to.zone {
		return
	}
	n.later(to, time.Duration(n.rnd.IntN(80))*time.Millisecond, f)
	if n.rnd.Float64() < n.duplication {
		n.later(to, time.Duration(n.rnd.IntN(2000))*time.Millisecond, f)
	}
}

func (n *network) call(from *node, addr netip.AddrPort, id string, ok func(Message), late func()) {
	to := n.find(addr)
	msg := from.list.Message(id)
	if id == "" {
		msg.Rows = append(msg.Rows, from.list.Self())
	}
	n.sent++
	n.rows += len(msg.Rows)
	answered := false
	n.deliver(from, to, func() {
		to.list.Receive(n.now, msg)
		reply := to.list.Message(msg.From)
		reply.Rows = append(reply.Rows, to.list.SuspicionOf(msg)...)
		n.rows += len(reply.Rows)
		n.runCheck(to)
		n.deliver(to, from, func() {
			answered = true
			from.list.Receive(n.now, reply)
			n.repair(from, to)
			n.runCheck(from)
			ok(reply)
		})
	})
	n.later(from, 500*time.Millisecond, func() {
		if !answered {
			late()
		}
	})
}

func (n *network) runCheck(nd *node) {
	if n.check != nil {
		n.check(nd)
	}
}

func (n *network) probe(from *node, target Host) {
	sent := n.now
	ok := func(reply Message) {
		if reply.From != target.ID {
			from.list.MarkReplaced(n.now, target)
		}
	}
	n.call(from, target.Peer, target.ID, ok, func() { n.probeIndirectly(from, target, sent) })
}

func (n *network) probeIndirectly(from *node, target Host, sent time.Time) {
	reached := false
	for _, h := range from.list.IndirectProbers(target, 3) {
		prober := n.find(h.Peer)
		n.deliver(from, prober, func() {
			n.call(prober, target.Peer, target.ID, func(reply Message) {
				if reply.From == target.ID {
					n.deliver(prober, from, func() { reached = true })
				}
			}, func() {})
		})
	}
	n.later(from, 1200*time.Millisecond, func() {
		if !reached {
			from.list.MarkUnreachable(n.now, target, sent)
		}
	})
}

// repair exchanges the rows below the top-level prefixes that differ, which the real network does in more steps.
func (n *network) repair(a, b *node) {
	every := 2*time.Second + time.Duration(len(a.list.Hosts()))*2*time.Millisecond
	if a.list.Digest() == b.list.Digest() || n.now.Sub(a.repaired) < every || n.rnd.Float64() < n.loss {
		return
	}
	a.repaired = n.now
	root := digest.Prefix{}
	for _, i := range digest.Differing(a.list.Sums(root), b.list.Sums(root)) {
		rows := a.list.Rows(root.Child(i), 64)
		a.list.MergeRepaired(n.now, b.list.Rows(root.Child(i), 64))
		b.list.MergeRepaired(n.now, rows)
	}
}
