package host

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"sync"

	"github.com/go-logr/logr"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/drainer"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/follow"
	"guavaspring.org/entry/internal/lifecycle"
	"guavaspring.org/entry/internal/listing"
	"guavaspring.org/entry/internal/metrics"
	"guavaspring.org/entry/internal/rejectlog"
	"guavaspring.org/entry/internal/service"
	"guavaspring.org/entry/internal/steer"
	"guavaspring.org/entry/internal/writes"
)

// maxExplanations is the number of explanations that a host keeps.
const maxExplanations = 4096

// Options configures a host.
type Options struct {
	Clock    clock.Clock
	Log      logr.Logger
	Listen   netip.AddrPort
	Peer     netip.AddrPort
	Seeds    []netip.AddrPort
	Zone     string
	Region   string
	Platform netip.AddrPort
}

// Host is an entry host that answers queries and writes of configured services.
type Host struct {
	opts           Options
	store          *accepted.Store
	explain        *explain.Store
	follower       *follow.Follower
	listing        *listing.Table
	membership     *membership
	writer         *writes.Writer
	steerer        *steer.Selector
	drain          *drainer.Drainer
	metrics        *metrics.Metrics
	serviceMetrics *service.Metrics

	mu       sync.RWMutex
	services map[string]*service.Service
}

// New returns a host that does nothing until Run.
func New(opts Options) (*Host, error) {
	client, err := platform.New(opts.Platform)
	if err != nil {
		return nil, err
	}
	client.Rejected = logRejected(opts.Log)
	h := &Host{opts: opts, explain: explain.New(maxExplanations), services: map[string]*service.Service{}, steerer: steer.New(steer.Options{})}
	h.drain = h.newDrainer()
	h.metrics = h.newMetrics()
	h.serviceMetrics = service.NewMetrics(h.metrics.Registry())
	h.store = accepted.New(h.applyGeneration)
	h.listing = listing.New(opts.Clock)
	h.follower = h.follow(client)
	h.membership, err = join(opts, client, h.store, h.listing, h.follower.Replicas)
	if err != nil {
		return nil, err
	}
	h.membership.status = h.status(client)
	h.metrics.Registry().MustRegister(h.membership.peers.Collectors()...)
	h.writer = h.newWriter()
	return h, nil
}

// logRejected returns a function that logs the objects of the platform that can't be decoded, by kind.
func logRejected(log logr.Logger) func(kind string, list []feed.Rejected) {
	logs := map[string]*rejectlog.Log{}
	for _, kind := range []string{string(platform.KindDocument), string(platform.KindAccepted), string(platform.KindStatus), string(platform.KindHosts), platform.ReplicaRows} {
		logs[kind] = rejectlog.New(log, kind, func(int) {})
	}
	return func(kind string, list []feed.Rejected) { logs[kind].Report(list) }
}

// Run serves until ctx ends, and then completes the requests in flight. If ctx ends before the host serves, it accepts no
// connection of callers.
func (h *Host) Run(ctx context.Context) error {
	// The end of ctx is a graceful stop, which must not cancel the requests in flight.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { h.runPeers(runCtx) })
	h.warmUp(ctx)
	if ctx.Err() != nil {
		h.announceLeaving(runCtx)
		cancel()
		tasks.Wait()
		events.Stopped.Log(h.opts.Log)
		return nil
	}
	tasks.Go(func() { h.updateLoad(runCtx) })
	srv, err := h.newServer(runCtx)
	if err != nil {
		cancel()
		tasks.Wait()
		return err
	}
	events.Started.Log(h.opts.Log, "listen", h.opts.Listen.String(), "zone", h.opts.Zone)
	err = lifecycle.Run(runCtx, ctx, lifecycle.Options{Servers: []lifecycle.Server{srv}, Leave: h.drain.Leave, Finish: stopTimeout, Failed: h.serverFailed})
	h.writer.Wait()
	cancel()
	tasks.Wait()
	events.Stopped.Log(h.opts.Log)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Listen, err)
	}
	return nil
}

// serverFailed logs the error of a server that has stopped by itself; the host leaves.
func (h *Host) serverFailed(err error) {
	events.ServerFailed.Log(h.opts.Log, "listen", h.opts.Listen.String(), "reason", err.Error())
}

// applyGeneration puts a generation of a service's document in force.
func (h *Host) applyGeneration(gen accepted.Generation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	events.ConfigInForce.Log(h.opts.Log, "service", gen.Service, "number", gen.Number)
	h.membership.peers.AnnounceGeneration(gen)
	if s := h.services[gen.Service]; s != nil {
		s.SetGeneration(gen)
		return
	}
	s, err := service.New(gen, h.serviceOptions())
	if err != nil {
		panic(fmt.Sprintf("host: create service %q: %v", gen.Service, err))
	}
	h.services[gen.Service] = s
}

// explanationID returns an ID that contains this host's address, by which gsctl finds the explanation.
func (h *Host) explanationID() string { return caller.NewExplanationID(h.opts.Listen, rand.Text()) }

// service returns the service called name, or nil if none is configured.
func (h *Host) service(name string) *service.Service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.services[name]
}

// updateReplicas updates the replicas of all services from the platform's list.
func (h *Host) updateReplicas(ctx context.Context, list []platform.Replica) {
	byService := map[string][]platform.Replica{}
	for _, r := range list {
		byService[r.Service] = append(byService[r.Service], r)
	}
	var wg sync.WaitGroup
	for name, s := range h.allServices() {
		wg.Go(func() { s.Update(ctx, byService[name]) })
	}
	wg.Wait()
}
