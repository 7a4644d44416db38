package front

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/allowance"
	"guavaspring.org/entry/internal/coldshare"
	"guavaspring.org/entry/internal/drainer"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/evacuation"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explainroute"
	"guavaspring.org/entry/internal/forward"
	"guavaspring.org/entry/internal/frontmetrics"
	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/leastshare"
	"guavaspring.org/entry/internal/lifecycle"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/requestlog"
	"guavaspring.org/entry/internal/retrybudget"
	"guavaspring.org/entry/internal/rumor"
	"guavaspring.org/entry/internal/source"
	"guavaspring.org/entry/internal/startparts"
	"guavaspring.org/entry/internal/startup"
	"guavaspring.org/entry/internal/subquery"
	"guavaspring.org/entry/internal/traffic"
)

const (
	// addressTTL is the TTL of the addresses that clients receive. It is long because a lookup at a host that has lost
	// power takes a second, more than the deadline of most requests. A stale address costs less: clients skip addresses
	// that failed, and a closed port fails at once.
	addressTTL = 4500 * time.Millisecond
	// finishGrace is the part of the grace, at its end, for requests in flight once the port is closed.
	finishGrace = 1200 * time.Millisecond
	// exitGrace is the part of the grace, at its end, for the last responses to be written and the process to exit by itself.
	// The platform counts from the time at which it sends the signal, which a busy machine delivers late. On a process that
	// gets little processor time it is longer.
	exitGrace = 400 * time.Millisecond
	// finishPollInterval is the interval at which an exiting host looks for parts of other hosts' queries that still run here.
	// It is also the time for the last reply to be sent, which net/rpc does after the part has ended.
	finishPollInterval = 20 * time.Millisecond
	// shareInterval is how often this host's share of each replica's connections is adapted to the number of hosts.
	shareInterval = time.Second
	// minAssumedHosts is the number of hosts assumed where fewer are known: a host that has just started knows only
	// itself, and must not take the shares of all.
	minAssumedHosts = 3
)

// Store holds the calls to the platform's store.
type Store struct {
	ListConfig    func(ctx context.Context) (feed.Batch[route.Config], error)
	WatchConfig   func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[route.Config], error)
	ListReplicas  func(ctx context.Context) (feed.Batch[platform.Replica], error)
	WatchReplicas func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[platform.Replica], error)
	// ListEvacuations and WatchEvacuations are not called where Options.Evacuate is zero.
	ListEvacuations  func(ctx context.Context) (feed.Batch[platform.Evacuation], error)
	WatchEvacuations func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[platform.Evacuation], error)

	List func(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error)
	Get  func(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put  func(ctx context.Context, kind platform.Kind, name string, version int64, body []byte) (platform.Object, error)
	// Reconnect closes the idle connections to the store.
	Reconnect func()
}

// Options configures a host.
type Options struct {
	Clock        clock.Clock
	Log          logr.Logger
	Zone, Region string
	// Regions holds the region of each availability zone.
	Regions map[string]string
	// Front listens for clients' requests, Readiness for the platform's checks, Directory for clients' address lookups,
	// Peer for the other hosts.
	Front, Readiness, Directory, Peer netip.AddrPort
	// Seeds returns addresses of other hosts that may be alive.
	Seeds func() []netip.AddrPort
	Store Store
	Codec opaque.Codec
	// Resolve and Ready return the handlers of address lookups and of the platform's readiness checks.
	Resolve func(answer func(opaque.Caller) ([]netip.AddrPort, time.Duration, error)) http.Handler
	Ready   func(ready func() error) http.Handler
	// Grace is the time from the signal to stop until the platform kills the process.
	Grace time.Duration
	// MaxKeep is the longest allowed TTL of the addresses that clients receive.
	MaxKeep time.Duration
	// Apply is the time within which a changed configuration has to be in force, and Drain the time for which requests
	// may still be sent to a replica that is leaving.
	Apply, Drain time.Duration
	// Evacuate is the time within which requests to the replicas of an evacuated zone have to stop; zero means that zones
	// can't be evacuated.
	Evacuate time.Duration
	// Cores is the number of the host's processor cores, and LinkBits the bandwidth of its link in bits a second.
	Cores, LinkBits float64
	// Metrics is the address that serves metrics; the zero value serves none.
	Metrics netip.AddrPort
	// StoreCalls returns the number of calls to the store, by purpose, LinesLost the number of log lines that the output
	// lost.
	StoreCalls func() []frontmetrics.StoreCalls
	LinesLost  func() uint64
	// Memory limits the memory of messages from clients and replicas, and of subqueries; ControlMemory that of messages from
	// other hosts.
	Memory, ControlMemory *memory.Budget
	// MemoryBytes is the memory limit above which the platform kills the process.
	MemoryBytes int64
	// Traffic counts the bytes of the host's connections; nil means a new meter.
	Traffic *traffic.Meter
	// QuotaSlack is the number of requests over its limit that a customer may run in a window, on all hosts together.
	QuotaSlack int
	// QuotaExcess is the share of its limit that a customer may run over it, in addition to QuotaSlack.
	QuotaExcess float64
	// Spend bounds the retries and hedges of all hosts together.
	Spend retrybudget.Options
}

// Front is an entry host that forwards opaque requests.
type Front struct {
	opts       Options
	drain      *drainer.Drainer
	table      *endpoints.Table
	zones      *evacuation.Zones
	coldShares *coldshare.Shares
	config     atomic.Pointer[route.Table]
	membership *membership
	started    time.Time
	log        *requestlog.Log
	metrics    *frontmetrics.Metrics
	// storeState signals the followers of the store's objects that the store is reachable again.
	storeState *source.StoreState
	// startup holds requests until the configuration, the replicas and the evacuations are loaded.
	startup *startup.Startup
	// quarantine refuses requests that crash replicas.
	quarantine *quarantine.Quarantine
	// subqueryServer serves other hosts' subqueries.
	subqueryServer *subquery.Server
	// budgetShare is this host's share of the budget for extra attempts.
	budgetShare *leastshare.Share
	// allowances limits the customers' request rates.
	allowances *allowance.Limiter
	// startParts gets the number of parts of the limits known at the start.
	startParts *startparts.Source
	// forwarder serves clients' requests, nil until the servers are set up.
	forwarder atomic.Pointer[forward.Forwarder]
	// subqueryHosts selects the hosts that run parts of this host's queries.
	subqueryHosts *subqueryPeers
}

// New returns a host that does nothing until Run.
func New(opts Options) (*Front, error) {
	if opts.Traffic == nil {
		opts.Traffic = &traffic.Meter{}
	}
	f := &Front{opts: opts, started: opts.Clock.Now(), storeState: source.NewOutage(), startup: startup.New(opts.Clock)}
	f.drain = drainer.New(drainer.Options{
		Clock: opts.Clock, Announce: f.announce, Grace: func() time.Duration { return opts.Grace - finishGrace }, Finish: finishGrace - exitGrace, Margin: exitGrace,
	})
	f.zones = evacuation.New(evacuation.Options{Clock: opts.Clock, Log: opts.Log, Changed: func() { f.table.Refresh() }})
	f.table = endpoints.New(endpoints.Options{
		Clock: opts.Clock, Log: opts.Log, Zone: opts.Zone, Codec: &opts.Codec, Spend: opts.Spend, Share: f.limitShare, Evacuated: f.zones.Has, ColdShare: f.coldShare, Regions: opts.Regions, Hosts: f.servingHosts, Memory: opts.Memory,
		Opened: func(c net.Conn, near bool) net.Conn { return opts.Traffic.Conn(c, traffic.Replicas, !near) },
	})
	f.budgetShare = leastshare.New(leastshare.Options{Clock: opts.Clock, Now: f.limitShare})
	f.quarantine = f.newQuarantine()
	f.subqueryServer = f.newSubqueryServer()
	f.allowances = f.newAllowances()
	f.startParts = f.newStartParts()
	services := map[string]any{subqueryService: f.subqueryServer, allowanceService: f.allowances, startPartsService: &startparts.Methods{Source: f.startParts}}
	f.subqueryHosts = f.newSubqueryPeers()
	explainer := explainroute.New(explainroute.Options{Clock: opts.Clock, Log: opts.Log, Plan: f.explainRoute})
	services[explainroute.Service] = explainer
	j, err := join(opts, rand.Text(), services, f.sharesToPublish)
	if err != nil {
		return nil, err
	}
	f.membership = j
	f.coldShares = coldshare.New(coldshare.Options{
		Clock: opts.Clock, Self: func() string { return j.list.Self().ID }, Settled: f.settled,
		Hosts: func() (all, serving []member.Host) { return j.list.Hosts(), j.currentView().serving },
	})
	j.rumors.Subscribe(rumor.KindQuarantine, f.quarantine.ApplyRumor)
	f.log = requestlog.New(requestlog.Options{Clock: opts.Clock, Log: opts.Log, Dropped: opts.LinesLost, Stopping: f.drain.Stopping})
	f.metrics = f.newMetrics()
	return f, nil
}

// Run serves until ctx ends, and then completes the requests in flight. If ctx ends before the host serves, it accepts no
// connection.
func (f *Front) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if ctx.Err() != nil {
		return f.stopUnserved()
	}
	servers, err := f.servers(runCtx)
	if err != nil {
		return err
	}
	var tasks sync.WaitGroup
	f.start(runCtx, &tasks)
	events.Started.Log(f.opts.Log, "listen", f.opts.Front.String(), "zone", f.opts.Zone)
	err = lifecycle.Run(runCtx, ctx, lifecycle.Options{Servers: servers, Leave: f.leave, Finish: f.opts.Grace - exitGrace, Failed: f.serverFailed})
	f.finishSubqueries()
	cancel()
	tasks.Wait()
	events.Stopped.Log(f.opts.Log, "took_ms", f.drain.Stopping().Milliseconds(), "late", f.drain.Late(), "in_flight", f.drain.Running())
	if err != nil {
		return fmt.Errorf("host %s: %w", f.opts.Front, err)
	}
	return nil
}

// finishSubqueries returns once no part of another host's query runs here and the last reply has been sent, or at the end of
// the host. A host that leaves begins no more of them.
func (f *Front) finishSubqueries() {
	for idle := false; !idle; {
		idle = f.subqueryServer.Running() == 0 || !f.drain.Leaving()
		select {
		case <-f.opts.Clock.After(finishPollInterval):
		case <-f.drain.Ended():
			return
		}
	}
}

// serverFailed logs the error of a server that has stopped by itself; the host leaves.
func (f *Front) serverFailed(err error) {
	events.ServerFailed.Log(f.opts.Log, "listen", f.opts.Front.String(), "reason", err.Error())
}

// stopUnserved ends a host that was stopped before it served, so that clients go to other hosts at once.
func (f *Front) stopUnserved() error {
	events.Stopped.Log(f.opts.Log, "took_ms", 0, "late", 0, "in_flight", 0)
	return f.membership.listener.Close()
}

// start starts the background tasks, which run until ctx ends. Clients are answered from the first moment: a client
// that calls before the configuration is loaded is told when to retry.
func (f *Front) start(ctx context.Context, tasks *sync.WaitGroup) {
	tasks.Go(func() { f.followConfig(ctx) })
	tasks.Go(func() { f.followReplicas(ctx) })
	if f.opts.Evacuate > 0 {
		tasks.Go(func() { f.followEvacuations(ctx) })
	}
	tasks.Go(func() { f.membership.run(ctx) })
	tasks.Go(func() { f.adaptShares(ctx) })
	tasks.Go(func() { f.announceStart(ctx) })
	tasks.Go(func() { f.log.Run(ctx.Done()) })
	tasks.Go(func() { f.logCosts(ctx) })
}

// adaptShares adapts this host's shares of the replicas' connections, the customers' limits and the budget for extra
// attempts to the number of hosts until ctx ends.
func (f *Front) adaptShares(ctx context.Context) {
	for ctx.Err() == nil {
		if t := f.config.Load(); t != nil {
			f.table.SetLimits(t.Config().Services)
		}
		f.allowances.ObserveHosts()
		f.budgetShare.Get()
		clock.Sleep(ctx, f.opts.Clock, shareInterval)
	}
}

// settled reports whether this host has run long enough to have a complete member list.
func (f *Front) settled() bool { return f.opts.Clock.Now().Sub(f.started) >= settleTime }

// limitShare returns this host's share of the limits that all hosts keep together, from 0 to 1.
func (f *Front) limitShare() float64 { return f.membership.share() }

// servingHosts returns this host's ID and the hosts that clients are directed to.
func (f *Front) servingHosts() (self string, serving []member.Host) {
	p := f.membership.currentView()
	return p.self, p.serving
}

// coldShare returns the number of requests a second that this host may send to a cold replica.
func (f *Front) coldShare(replica string, perSecond float64) int {
	return f.coldShares.Of(replica, perSecond)
}

// ready returns an error that says why this host can't serve, or nil.
func (f *Front) ready() error {
	switch {
	case f.drain.Leaving():
		return errors.New("the host is leaving; it serves those that still come")
	case f.config.Load() == nil || !f.table.Known():
		return errors.New("the configuration is not known yet")
	case !f.loaded():
		return errors.New("the evacuated zones are not known yet")
	}
	return nil
}

// addresses returns the hosts that a client should use, and their TTL.
//
// A host that can't serve yet leaves itself out. After a power loss of all hosts, most of those that clients look up
// addresses at know no others and are weak. A client that receives no address keeps using the strong hosts that it
// knows; one that receives a weak host, which still has to load all replicas over a slow link, is answered late.
func (f *Front) addresses(c opaque.Caller) ([]netip.AddrPort, time.Duration, error) {
	list := addressesOf(f.nearest(c, f.membership.addresses(f.ready() == nil)))
	if len(list) == 0 {
		return nil, 0, errors.New("no host is known to serve")
	}
	return list, min(addressTTL, f.opts.MaxKeep), nil
}

// nearest returns the serving hosts that a client is directed to.
func (f *Front) nearest(c opaque.Caller, serving []member.Host) []member.Host {
	t := f.config.Load()
	if t == nil {
		return homes.Nearest(serving, c.Region, nil, false)
	}
	regions, bound := homes.CommonToRoutes(t.Routes(c.Host))
	return homes.Nearest(serving, c.Region, regions, bound)
}

func addressesOf(hosts []member.Host) []netip.AddrPort {
	list := make([]netip.AddrPort, len(hosts))
	for i, h := range hosts {
		list[i] = h.Caller
	}
	return list
}

// leave returns once the host may close its port.
func (f *Front) leave(ctx context.Context) error {
	err := f.drain.Leave(ctx)
	events.GraceOver.Log(f.opts.Log, "took_ms", f.drain.Stopping().Milliseconds(), "late", f.drain.Late(), "in_flight", f.drain.Running())
	return err
}

// announce tells the other hosts that this one is leaving.
func (f *Front) announce(ctx context.Context) {
	events.Stopping.Log(f.opts.Log, "in_flight", f.drain.Running(), "grace", f.opts.Grace.String())
	f.membership.peers.Leave(ctx)
}
