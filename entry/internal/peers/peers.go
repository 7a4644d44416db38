package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/ring"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/listing"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/rumor"
)

const (
	tickInterval         = 200 * time.Millisecond
	probeTimeout         = 500 * time.Millisecond
	indirectProbeTimeout = 1200 * time.Millisecond
	indirectProbes       = 3
)

// Use is the purpose of a connection to another host.
type Use string

// The uses of connections.
const (
	// UseProbe is used for probes, news and repairs.
	UseProbe Use = "probes"
	// UseLongPoll is used by Call, whose calls may be long polls.
	UseLongPoll Use = "waits"
	// UseConcurrent is used by CallConcurrent.
	UseConcurrent Use = "works"
)

// Options configures Peers.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Listener accepts connections of other hosts at the peer address in this host's own row; Run closes it.
	Listener net.Listener
	List     *member.List
	Store    *accepted.Store
	Rumors   *rumor.Store
	// Listing holds the rows of the platform's replica list, shared by all hosts.
	Listing *listing.Table
	// Replicas returns the platform's replica list that this host read last.
	Replicas func() []platform.Replica
	// Contacts returns addresses of hosts that may be alive, from the settings and the platform's directory.
	Contacts func() []netip.AddrPort
	Rand     *rand.Rand
	// Watched returns the hosts that this host probes besides its neighbours, and whose failure it announces to all
	// hosts at once; nil means none.
	Watched func() []member.Host
	// Services holds additional net/rpc services for the other hosts, by name.
	Services map[string]any
	// Memory limits the memory of messages from other hosts; nil means no limit.
	Memory *memory.Budget
	// Dial opens a connection to another host; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Opened wraps a new connection to another host; nil leaves it unwrapped.
	Opened func(c net.Conn, addr netip.AddrPort, use Use) net.Conn
}

// Peers exchanges probes and news with the other hosts.
type Peers struct {
	opts    Options
	traffic traffic
	pool    *pool
	// longPollPool holds the connections of Call. They are separate because a call that times out closes its
	// connection, which must not fail probes.
	longPollPool *pool
	// concurrentPool holds the connections of CallConcurrent, which carry many calls at once that end with their callers.
	concurrentPool *pool
	server         *server
	newsQueue      *ring.Ring[newsItem]
	replicaQueue   *ring.Ring[listing.Row]
	// fetchCtx ends with Run; fetches of announced documents use it.
	fetchCtx      context.Context
	cancelFetches context.CancelFunc
	fetches       sync.WaitGroup

	mu          sync.Mutex
	lastRepair  map[Table]time.Time
	fetching    map[accepted.Mark]bool
	stopped     bool
	nextContact int
}

// New returns a Peers that is idle until Run.
func New(opts Options) (*Peers, error) {
	p := &Peers{opts: opts, newsQueue: ring.New[newsItem](newsQueueSize), replicaQueue: ring.New[listing.Row](replicaQueueSize), lastRepair: map[Table]time.Time{}, fetching: map[accepted.Mark]bool{}}
	p.fetchCtx, p.cancelFetches = context.WithCancel(context.Background())
	if opts.Opened == nil {
		opts.Opened = func(c net.Conn, _ netip.AddrPort, _ Use) net.Conn { return c }
	}
	p.pool = newPool(opts.Clock, &p.traffic, opts.Memory, dialer(opts, UseProbe))
	p.longPollPool = newPool(opts.Clock, &p.traffic, opts.Memory, dialer(opts, UseLongPoll))
	p.concurrentPool = newPool(opts.Clock, &p.traffic, opts.Memory, dialer(opts, UseConcurrent))
	srv, err := newServer(&Methods{p: p}, &p.traffic, opts.Memory)
	if err != nil {
		return nil, err
	}
	for name, methods := range opts.Services {
		if err := srv.rpc.RegisterName(name, methods); err != nil {
			return nil, fmt.Errorf("peers: service %s: %w", name, err)
		}
	}
	p.server = srv
	return p, nil
}

// dialer returns the function that opens connections for a use.
func dialer(opts Options, use Use) func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dial := opts.Dial
	if dial == nil {
		dial = dialTCP
	}
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return opts.Opened(c, addr, use), nil
	}
}

// Run serves other hosts, probes them and sends news until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	defer p.pool.close()
	defer p.longPollPool.close()
	defer p.concurrentPool.close()
	var loops sync.WaitGroup
	loops.Go(func() { p.server.serve(ctx, p.opts.Listener) })
	loops.Go(func() { p.every(ctx, tickInterval, func() { p.opts.List.Tick(p.opts.Clock.Now()) }) })
	loops.Go(func() { p.probeNeighbours(ctx) })
	if p.opts.Watched != nil {
		loops.Go(func() { p.watchHosts(ctx) })
	}
	loops.Go(func() { p.discover(ctx) })
	loops.Go(func() { p.gossipNews(ctx) })
	loops.Go(func() { p.gossipReplicas(ctx) })
	loops.Wait()
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.cancelFetches()
	p.fetches.Wait()
}

// Call calls a method of an additional service at addr, given as "Service.Method". A call that fails or times out
// closes its connection.
func (p *Peers) Call(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method string, args, reply any) error {
	return p.longPollPool.invoke(ctx, addr, timeout, method, args, reply)
}

// CallConcurrent calls a method as Call does, with many calls at once on one connection. The end of ctx leaves the
// connection open for the other calls; a timeout closes it.
func (p *Peers) CallConcurrent(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method string, args, reply any) error {
	return p.concurrentPool.run(ctx, addr, callOptions{timeout: timeout, keepConn: true}, method, args, reply)
}

// Leave announces to all neighbours that this host is stopping, and returns once each has answered or timed out; they
// pass it on.
func (p *Peers) Leave(ctx context.Context) {
	p.opts.List.Leave()
	self := p.opts.List.Self()
	p.sendNews(ctx, &News{From: self.Peer, Hosts: []member.Host{self}})
}

// probeNeighbours probes one neighbour each member.ProbeEvery; a probe that hangs does not delay the next.
func (p *Peers) probeNeighbours(ctx context.Context) {
	var running sync.WaitGroup
	p.every(ctx, member.ProbeEvery, func() {
		if target, ok := p.opts.List.NextProbe(); ok {
			running.Go(func() { p.detectFailure(ctx, target, probeTimeout, indirectProbeTimeout) })
		}
	})
	running.Wait()
}

// detectFailure probes target, first directly and then through other hosts, and marks it unreachable if all probes
// fail. It returns the row of target if that made it suspect.
func (p *Peers) detectFailure(ctx context.Context, target member.Host, probe, ask time.Duration) (member.Host, bool) {
	sent := p.opts.Clock.Now()
	err := p.probe(ctx, target, probe)
	if err == nil || ctx.Err() != nil {
		return member.Host{}, false
	}
	if p.probeIndirectly(ctx, target, ask) || ctx.Err() != nil {
		return member.Host{}, false
	}
	return p.opts.List.MarkUnreachable(p.opts.Clock.Now(), target, sent)
}

var errNoNeighbour = errors.New("no neighbour in the member list")

var errReplaced = errors.New("another process answers at the address")

// probe exchanges packets with target and repairs the tables that differ.
func (p *Peers) probe(ctx context.Context, target member.Host, timeout time.Duration) error {
	sums, err := p.exchangePackets(ctx, target, timeout)
	if err != nil {
		return err
	}
	p.repairTables(ctx, target.Peer, sums)
	return nil
}

// exchangePackets probes target without a repair and returns the sums of its tables.
func (p *Peers) exchangePackets(ctx context.Context, target member.Host, timeout time.Duration) (Sums, error) {
	args := p.newPacket(target.ID)
	var reply Packet
	if err := p.pool.call(ctx, target.Peer, timeout, "Probe", &args, &reply); err != nil {
		return Sums{}, err
	}
	p.receive(&reply)
	if reply.Member.From != target.ID {
		p.opts.List.MarkReplaced(p.opts.Clock.Now(), target)
		return Sums{}, fmt.Errorf("peer %s: %w: got ID %s, want %s", target.Peer, errReplaced, reply.Member.From, target.ID)
	}
	return reply.Sums, nil
}

func (p *Peers) probeIndirectly(ctx context.Context, target member.Host, timeout time.Duration) bool {
	list := p.opts.List.IndirectProbers(target, indirectProbes)
	results := make(chan bool, len(list))
	for _, h := range list {
		go func() {
			var reply AskReply
			err := p.pool.call(ctx, h.Peer, timeout, "Ask", &AskArgs{Target: target}, &reply)
			results <- err == nil && reply.Reached
		}()
	}
	reached := false
	for range list {
		reached = <-results || reached
	}
	return reached
}

func (p *Peers) newPacket(to string) Packet {
	return Packet{Member: p.opts.List.Message(to), Rumors: p.opts.Rumors.Take(), Sums: p.tableSums()}
}

func (p *Peers) receive(pkt *Packet) {
	own := p.opts.List.Self().ID
	for _, h := range p.opts.List.Receive(p.opts.Clock.Now(), pkt.Member) {
		if h.ID == own || h.State == member.StateLeaving {
			// Clients are directed away from this host until all hosts have received its refutation, so it is sent as
			// news. A stop is passed on like news even if it came with a probe: its announcement, when it comes, is not news
			// here, and hosts that only this one notifies would receive it seconds later. Other rows travel with the probes.
			p.newsQueue.Push(newsItem{host: h})
		}
	}
	p.receiveNews(netip.AddrPort{}, nil, pkt.Rumors)
}

// repairTables repairs each table whose sum differs from that of the host at addr.
func (p *Peers) repairTables(ctx context.Context, addr netip.AddrPort, sums Sums) {
	own := p.tableSums()
	for _, t := range []struct {
		table      Table
		own, other uint64
	}{
		{TableGenerations, own.Generations, sums.Generations},
		{TableMembers, own.Members, sums.Members},
		{TableRumors, own.Rumors, sums.Rumors},
		{TableReplicas, own.Replicas, sums.Replicas},
	} {
		if t.own != t.other && p.repairDue(t.table) {
			p.repair(ctx, addr, t.table, walkLimitsFor(t.table))
		}
	}
}

func (p *Peers) repairDue(table Table) bool {
	now := p.opts.Clock.Now()
	every := repairInterval
	if table == TableMembers || table == TableReplicas {
		every += time.Duration(len(p.opts.List.Hosts())) * repairIntervalPerHost
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastRepair[table]) < every {
		return false
	}
	p.lastRepair[table] = now
	return true
}

// Number returns the number of the generation of a service that is in force at h, which may be this host; 0 means none.
func (p *Peers) Number(ctx context.Context, h member.Host, service string) (int64, error) {
	var reply NumberReply
	if h.ID == p.opts.List.Self().ID {
		gen, _ := p.opts.Store.Get(service)
		return gen.Number, nil
	}
	err := p.pool.call(ctx, h.Peer, callTimeout, "Number", &GenerationArgs{Service: service}, &reply)
	return reply.Number, err
}

// FetchReplicas returns the replica list that a neighbour read last, from the first neighbour that sends one.
func (p *Peers) FetchReplicas(ctx context.Context) ([]platform.Replica, error) {
	var reply ReplicasReply
	err := errNoNeighbour
	for _, h := range p.opts.List.Neighbours() {
		err = p.pool.call(ctx, h.Peer, callTimeout, "Replicas", &ReplicasArgs{}, &reply)
		if err == nil && len(reply.List) > 0 {
			return reply.List, nil
		}
	}
	return nil, err
}

func (p *Peers) every(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		clock.Sleep(ctx, p.opts.Clock, d)
	}
}
