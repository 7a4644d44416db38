package host

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-logr/logr"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/callers"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/follow"
	"guavaspring.org/entry/internal/service"
)

const explanations = 4096

// Options holds the settings of a host.
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

// Host is one entry host.
type Host struct {
	opts     Options
	store    *accepted.Store
	explain  *explain.Store
	follower *follow.Follower
	joined   *joined

	mu       sync.RWMutex
	services map[string]*service.Service
}

// New returns a host that does nothing until Run.
func New(opts Options) (*Host, error) {
	client, err := platform.New(opts.Platform)
	if err != nil {
		return nil, err
	}
	h := &Host{opts: opts, explain: explain.New(explanations), services: map[string]*service.Service{}}
	h.store = accepted.New(h.inForce)
	h.follower = h.follow(client)
	h.joined, err = join(opts, client, h.store, h.follower.Replicas)
	if err != nil {
		return nil, err
	}
	h.joined.status = h.status(client)
	return h, nil
}

// Run serves until ctx ends or the process is told to stop, and then finishes what is in flight.
func (h *Host) Run(ctx context.Context) error {
	srv := callers.New(callers.Options{
		Clock: h.opts.Clock, Listen: h.opts.Listen, NewID: rand.Text, Explain: h.explain,
		Metrics: h.metrics(), Service: h.service, Ready: h.ready, Addresses: h.addresses, Write: h.write,
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	duties.Go(func() { h.runPeers(ctx) })
	app := kratos.New(kratos.Context(ctx), kratos.Name("entry"), kratos.Server(srv), kratos.BeforeStop(h.joined.leave))
	events.Started.Log(h.opts.Log, "listen", h.opts.Listen.String(), "zone", h.opts.Zone)
	err := app.Run()
	cancel()
	duties.Wait()
	events.Stopped.Log(h.opts.Log)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Listen, err)
	}
	return nil
}

func (h *Host) inForce(gen accepted.Generation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	events.ConfigInForce.Log(h.opts.Log, "service", gen.Service, "number", gen.Number)
	h.joined.peers.InForce(gen)
	if s := h.services[gen.Service]; s != nil {
		s.SetGeneration(gen)
		return
	}
	s, err := service.New(gen, service.Options{Clock: h.opts.Clock, Log: h.opts.Log, Explain: h.explain, NewID: h.explanationID, Draining: h.noteDraining})
	if err != nil {
		panic(fmt.Sprintf("host: a client without an endpoint can't be made: %v", err))
	}
	h.services[gen.Service] = s
}

// explanationID names this host, so that gsctl finds the explanation again.
func (h *Host) explanationID() string { return caller.NewExplanationID(h.opts.Listen, rand.Text()) }

func (h *Host) service(name string) *service.Service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.services[name]
}

func (h *Host) replicas(ctx context.Context, list []platform.Replica) {
	byService := map[string][]platform.Replica{}
	for _, r := range list {
		byService[r.Service] = append(byService[r.Service], r)
	}
	h.mu.RLock()
	services := make(map[string]*service.Service, len(h.services))
	for name, s := range h.services {
		services[name] = s
	}
	h.mu.RUnlock()
	var wg sync.WaitGroup
	for name, s := range services {
		wg.Go(func() { s.Update(ctx, byService[name]) })
	}
	wg.Wait()
}

func (h *Host) ready() error {
	if len(h.store.All()) == 0 {
		return errors.New("no accepted document is known yet")
	}
	return nil
}

func (h *Host) addresses(name string, _ int) (caller.Addresses, error) {
	s := h.service(name)
	if s == nil {
		return caller.Addresses{}, fmt.Errorf("no service %q is configured here", name)
	}
	gen := s.Generation()
	return caller.Addresses{
		Service: name, Generation: gen.Number, KeepMS: gen.Document.Addresses.Keep.Std().Milliseconds(),
		Addresses: []caller.Address{{Address: h.opts.Listen, Zone: h.opts.Zone, Weight: 1}},
	}, nil
}

func (h *Host) write(_ context.Context, req callers.WriteRequest) caller.WriteAnswer {
	return caller.WriteAnswer{RequestID: req.ID, Service: req.Service, Outcome: caller.WriteNotRun, Reason: "writes are not served yet"}
}
