package service_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/service"
)

// simNode is one simulated replica.
type simNode struct {
	id       string
	addr     netip.AddrPort
	index    int
	holdings []upstream.Holding
	// reportedHoldings are the holdings that the health endpoint reports; they lag behind the true ones.
	reportedHoldings []upstream.Holding
	dead             bool
}

// fleet simulates the replicas of a service whose index versions change.
type fleet struct {
	mu    sync.Mutex
	seed  uint64
	rnd   *rand.Rand
	nodes []*simNode
	next  int
	// newest and shards are the last published version and its number of shards.
	newest int64
	shards int
}

func newFleet(seed uint64, shards, copies int) *fleet {
	f := &fleet{seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), newest: 1, shards: shards}
	for i := range shards * copies {
		n := &simNode{index: i, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000)}
		f.restart(n)
		n.holdings = []upstream.Holding{f.holding(n)}
		n.reportedHoldings = n.holdings
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *fleet) restart(n *simNode) {
	f.next++
	n.id, n.dead = fmt.Sprintf("r%d", f.next), false
}

func (f *fleet) holding(n *simNode) upstream.Holding {
	return upstream.Holding{Version: f.newest, Shard: n.index % f.shards, Shards: f.shards}
}

func (f *fleet) list() []platform.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []platform.Replica
	for _, n := range f.nodes {
		list = append(list, platform.Replica{ID: n.id, Addr: n.addr, State: platform.StateLive})
	}
	return list
}

// step makes one random change: a replica loads the newest version, drops its oldest, crashes, restarts, or holds a
// version with a different number of shards, or a new version is published, often with another number of shards.
func (f *fleet) step() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[f.rnd.IntN(len(f.nodes))]
	n.reportedHoldings = n.holdings
	switch f.rnd.IntN(12) {
	case 0:
		f.newest++
		f.shards = max(2, f.shards+f.rnd.IntN(5)-2)
	case 1:
		n.dead = true
	case 2:
		f.restart(n)
	case 3, 4, 5:
		if len(n.holdings) > 1 {
			n.holdings = slices.Clone(n.holdings[1:])
		}
	case 6:
		odd := f.holding(n)
		odd.Shards++
		f.load(n, odd)
	default:
		f.load(n, f.holding(n))
	}
}

func (f *fleet) load(n *simNode, h upstream.Holding) {
	same := func(other upstream.Holding) bool { return other.Version == h.Version }
	n.holdings = append(slices.DeleteFunc(slices.Clone(n.holdings), same), h)
}

func (f *fleet) find(addr netip.AddrPort) *simNode {
	for _, n := range f.nodes {
		if n.addr == addr {
			return n
		}
	}
	panic("no node at " + addr.String())
}

// delay draws the delay of an attempt from its id, so that a seed gives the same delays in any order of goroutines.
func (f *fleet) delay(attempt upstream.QueryAttempt) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attempt.ID))
	rnd := rand.New(rand.NewPCG(f.seed, h.Sum64()))
	if rnd.IntN(40) == 0 {
		return time.Second
	}
	return time.Duration(rnd.IntN(3000)) * time.Microsecond
}

// send answers for the replica at r's address; each hit names its query and the version, shard and number of shards
// that it comes from.
func (f *fleet) send(ctx context.Context, r *replica.Replica, attempt upstream.QueryAttempt) upstream.Result {
	d := f.delay(attempt)
	res := f.serve(r, attempt)
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return upstream.Result{Kind: upstream.KindCanceled}
	}
	res.Took = d
	return res
}

func (f *fleet) serve(r *replica.Replica, attempt upstream.QueryAttempt) upstream.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.find(r.Addr)
	if n.dead {
		return upstream.Result{Kind: upstream.KindNotSent, Detail: "connection refused"}
	}
	res := upstream.Result{Kind: upstream.KindOK, Holdings: upstream.FormatHoldings(n.holdings)}
	for _, h := range n.holdings {
		if h.Version == attempt.Version && h.Shard == attempt.Shard {
			id := fmt.Sprintf("%d/%d/%d", h.Version, h.Shard, h.Shards)
			res.Query = upstream.QueryReply{Hits: []upstream.Hit{{ID: id, Score: 1, Data: attempt.Body}}}
			return res
		}
	}
	res.Kind, res.Detail = upstream.KindVersionGone, "not held"
	return res
}

func (f *fleet) health(_ context.Context, r *replica.Replica) (upstream.Health, upstream.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.find(r.Addr)
	if n.dead {
		return upstream.Health{}, upstream.Result{Kind: upstream.KindNotSent}
	}
	return upstream.Health{Holdings: n.reportedHoldings}, upstream.Result{Kind: upstream.KindOK}
}

func newFleetService(f *fleet, doc document.Document) *service.Service {
	ids := 0
	var mu sync.Mutex
	s, err := service.New(accepted.Generation{Service: doc.Service, Number: 1, Document: doc}, service.Options{
		Clock: clock.System{}, Log: logr.Discard(), Explain: explain.New(64), Send: f.send, Health: f.health, IntN: seededIntN(f.seed),
		NewID: func() string {
			mu.Lock()
			defer mu.Unlock()
			ids++
			return fmt.Sprintf("x%d", ids)
		},
	})
	if err != nil {
		panic(err)
	}
	return s
}
