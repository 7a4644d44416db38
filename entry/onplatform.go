package main

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/front"
	"guavaspring.org/entry/internal/frontmetrics"
	"guavaspring.org/entry/internal/retrybudget"
	"guavaspring.org/entry/internal/traffic"
	"guavaspring.org/platform/settings"
	"guavaspring.org/platform/store"
	"guavaspring.org/platform/wire"
)

// memoryPart is the part of the memory limit at which the collector works harder; the rest is for what it doesn't see.
const memoryPart = 0.7

// metricsPort is where metrics are published; deploy/system.toml tells it to those who read them.
const metricsPort = 9464

// runOnPlatform runs a host that the platform's settings describe; lost counts the log lines that the output lost.
func runOnPlatform(ctx context.Context, path string, s settings.Settings, log logr.Logger, lost func() uint64) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	seeds := &atomic.Pointer[[]netip.AddrPort]{}
	seeds.Store(&s.Seeds)
	go reload(ctx, path, seeds, log)
	meter := &traffic.Meter{}
	c := store.New(s.Store, func(conn net.Conn) net.Conn { return meter.Conn(conn, traffic.Store, true) })
	f, err := front.New(front.Options{
		Clock: clock.System{}, Log: log, Zone: s.Zone, Region: s.Region, Regions: s.Regions,
		Front: s.Front, Readiness: s.Readiness, Directory: s.Directory, Peer: s.Peer,
		Seeds: func() []netip.AddrPort { return *seeds.Load() },
		Store: front.Store{
			ListConfig: c.ListConfig, WatchConfig: c.WatchConfig, ListReplicas: c.ListReplicas, WatchReplicas: c.WatchReplicas,
			ListEvacuations: c.ListEvacuations, WatchEvacuations: c.WatchEvacuations,
			List: c.List, Get: c.Get, Put: c.Put, Reconnect: c.Reconnect,
		},
		Codec: wire.Codec(), Resolve: wire.Resolve, Ready: wire.Ready,
		Cores: s.Cores, LinkBits: s.LinkBits,
		Metrics: netip.AddrPortFrom(s.Front.Addr(), metricsPort), StoreCalls: func() []frontmetrics.StoreCalls { return storeCalls(c) }, LinesLost: lost, Traffic: meter,
		Grace: s.Grace, MaxKeep: s.MaxKeep, Apply: s.ApplyConfig, Drain: s.Drain, Evacuate: s.Evacuate,
		QuotaSlack: s.QuotaSlack, QuotaExcess: s.QuotaExcess,
		Spend: retrybudget.Options{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
	})
	if err != nil {
		return err
	}
	return f.Run(ctx)
}

// storeCalls returns how many calls were made to the store, by what they are for.
func storeCalls(c *store.Client) []frontmetrics.StoreCalls {
	list := make([]frontmetrics.StoreCalls, len(store.AllCalls))
	for i, what := range store.AllCalls {
		list[i] = frontmetrics.StoreCalls{For: string(what), Calls: c.CallsFor(what)}
	}
	return list
}

// reload reads the settings again at each SIGHUP until ctx ends. Of what may change while a process runs, only the
// addresses of other hosts matter to it; the signal would otherwise end the process.
func reload(ctx context.Context, path string, seeds *atomic.Pointer[[]netip.AddrPort], log logr.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		s, err := settings.Read(path)
		if err != nil {
			events.SettingsRefused.Log(log, "reason", err.Error())
			continue
		}
		seeds.Store(&s.Seeds)
		events.SettingsRead.Log(log, "seeds", len(s.Seeds))
	}
}
