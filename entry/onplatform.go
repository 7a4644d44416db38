package main

import (
	"context"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/front"
	"guavaspring.org/entry/internal/frontmetrics"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/retrybudget"
	"guavaspring.org/entry/internal/traffic"
	"guavaspring.org/platform/settings"
	"guavaspring.org/platform/store"
	"guavaspring.org/platform/wire"
)

// memoryLimitRatio is the garbage collector's soft limit, above which it works harder, as a share of the process's
// memory limit. The rest is left for memory that the collector does not account for.
const memoryLimitRatio = 0.7

// messagesRatio is the share of the process's memory limit for messages from clients and replicas, and again for those from
// other hosts and the store, which have to arrive also while clients send as much as they may. docs/CAPACITY.md derives it.
const messagesRatio = 1.0 / 8

// storeFactor is the memory that a received byte of the store takes: the buffer, the undecoded objects and the decoded ones.
const storeFactor = 4

// metricsPort is the port that serves metrics. deploy/system.toml gives the same port to scrapers.
const metricsPort = 9464

// runHost runs a host with settings s, read from the file at path, until ctx ends, and reads the file again for each value
// of hup. droppedLines returns the number of log lines that the output lost.
func runHost(ctx context.Context, hup <-chan os.Signal, path string, s settings.Settings, log logr.Logger, droppedLines func() uint64) error {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
	seeds := &atomic.Pointer[[]netip.AddrPort]{}
	seeds.Store(&s.Seeds)
	go reload(ctx, hup, path, seeds, log)
	meter := &traffic.Meter{}
	newBudget := func(name string) *memory.Budget {
		return memory.New(memory.Options{Clock: clock.System{}, Log: log, Name: name, Limit: int64(messagesRatio * float64(s.MemoryBytes))})
	}
	requests, control := newBudget("requests"), newBudget("control")
	client := store.New(s.Store, func(conn net.Conn) net.Conn {
		return memory.NewConn(meter.Conn(conn, traffic.Store, true), memory.ConnOptions{Budget: control, Peer: memory.Store, Factor: storeFactor})
	})
	client.Reserve = func() (func(bytes int) error, func()) { return reserveList(control) }
	f, err := front.New(front.Options{
		Clock: clock.System{}, Log: log, Zone: s.Zone, Region: s.Region, Regions: s.Regions,
		Front: s.Front, Readiness: s.Readiness, Directory: s.Directory, Peer: s.Peer,
		Seeds: func() []netip.AddrPort { return *seeds.Load() },
		Store: front.Store{
			ListConfig: client.ListConfig, WatchConfig: client.WatchConfig, ListReplicas: client.ListReplicas, WatchReplicas: client.WatchReplicas,
			ListEvacuations: client.ListEvacuations, WatchEvacuations: client.WatchEvacuations,
			List: client.List, Get: client.Get, Put: client.Put, Reconnect: client.Reconnect,
		},
		Codec: wire.Codec(), Resolve: wire.ResolveHandler, Ready: wire.ReadyHandler,
		Cores: s.Cores, LinkBits: s.LinkBits, Memory: requests, ControlMemory: control, MemoryBytes: s.MemoryBytes,
		Metrics: netip.AddrPortFrom(s.Front.Addr(), metricsPort), StoreCalls: func() []frontmetrics.StoreCalls { return storeCalls(client) }, LinesLost: droppedLines, Traffic: meter,
		Grace: s.Grace, MaxKeep: s.MaxKeep, Apply: s.ApplyConfig, Drain: s.Drain, Evacuate: s.Evacuate,
		QuotaSlack: s.QuotaSlack, QuotaExcess: s.QuotaExcess,
		Spend: retrybudget.Options{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
	})
	if err != nil {
		return err
	}
	return f.Run(ctx)
}

// reserveList returns the functions that reserve and release the memory of one list of the store's objects.
func reserveList(control *memory.Budget) (grow func(bytes int) error, release func()) {
	list, err := control.Reserve(memory.Store)
	if err != nil {
		return func(int) error { return err }, func() {}
	}
	return func(bytes int) error { return list.Grow(int64(bytes)) }, list.Release
}

// storeCalls returns the number of calls to the store, by purpose.
func storeCalls(client *store.Client) []frontmetrics.StoreCalls {
	list := make([]frontmetrics.StoreCalls, len(store.AllCalls))
	for i, purpose := range store.AllCalls {
		list[i] = frontmetrics.StoreCalls{For: string(purpose), Calls: client.CallCount(purpose)}
	}
	return list
}

// reload reads the settings file again for each value of hup until ctx ends and applies the seeds. The host uses no other
// setting that may change while it runs.
func reload(ctx context.Context, hup <-chan os.Signal, path string, seeds *atomic.Pointer[[]netip.AddrPort], log logr.Logger) {
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
