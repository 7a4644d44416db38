package front

import (
	"context"

	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/source"
)

func (f *Front) followConfig(ctx context.Context) {
	apply := func(batch feed.Batch[route.Config], _ bool) { f.applyConfig(batch) }
	source.New(source.Options[route.Config]{
		Clock: f.opts.Clock, Log: f.opts.Log, Name: "config", List: f.opts.Store.ListConfig, Watch: f.opts.Store.WatchConfig,
		First:   func() []source.Parent[route.Config] { return first[route.Config](f.joined, f.opts.Seeds(), "Configs") },
		Settled: f.settled, Wanted: f.startup.Wanted(),
		Parents: func() ([]source.Parent[route.Config], bool) { return parents[route.Config](f.joined, "Configs") },
		Copy:    f.joined.configs, Replace: apply, Change: apply, Reconnect: f.opts.Store.Reconnect, Bound: f.opts.Apply,
		Rejected: f.counts.Unreadable("config"), Outage: f.outage,
	}).Run(ctx)
}

// applyConfig puts the newest configuration in force; one that is older than what is in force never comes back.
func (f *Front) applyConfig(batch feed.Batch[route.Config]) {
	for _, e := range batch.Entries {
		old := f.config.Load()
		switch {
		case e.Deleted || e.Unreadable || e.Value.Version == 0:
			continue
		case old != nil && e.Value.Version <= old.Config().Version:
			if e.Value.Version < old.Config().Version {
				events.ConfigStale.Log(f.opts.Log, "version", e.Value.Version, "in_force", old.Config().Version)
			}
			continue
		}
		f.table.SetLimits(e.Value.Services)
		f.config.Store(route.NewTable(e.Value))
		events.ConfigInForce.Log(f.opts.Log, "version", e.Value.Version, "routes", len(e.Value.Routes), "services", len(e.Value.Services))
	}
	f.noteKnown()
}

// known reports whether the host knows all that requests need. A host that started while a zone is evacuated and knew
// the replicas first would send them what they are spared from.
func (f *Front) known() bool {
	return f.config.Load() != nil && f.table.Known() && (f.opts.Evacuate == 0 || f.zones.Known())
}

// noteKnown lets requests in that wait for the host to know what they need.
func (f *Front) noteKnown() {
	if f.known() {
		f.startup.Known()
	}
}

func (f *Front) replaceEvacuations(batch feed.Batch[platform.Evacuation], _ bool) {
	f.zones.Replace(batch)
	f.noteKnown()
}

func (f *Front) changeEvacuations(batch feed.Batch[platform.Evacuation], _ bool) {
	f.zones.Change(batch)
}

func (f *Front) followEvacuations(ctx context.Context) {
	source.New(source.Options[platform.Evacuation]{
		Clock: f.opts.Clock, Log: f.opts.Log, Name: "evacuations", List: f.opts.Store.ListEvacuations, Watch: f.opts.Store.WatchEvacuations,
		First: func() []source.Parent[platform.Evacuation] {
			return first[platform.Evacuation](f.joined, f.opts.Seeds(), "Evacuations")
		},
		Settled: f.settled, Wanted: f.startup.Wanted(),
		Parents: func() ([]source.Parent[platform.Evacuation], bool) {
			return parents[platform.Evacuation](f.joined, "Evacuations")
		},
		Copy: f.joined.evacuations, Replace: f.replaceEvacuations, Change: f.changeEvacuations, Reconnect: f.opts.Store.Reconnect, Bound: f.opts.Evacuate,
		Rejected: f.counts.Unreadable("evacuations"), Outage: f.outage,
	}).Run(ctx)
}

func (f *Front) replaceReplicas(batch feed.Batch[platform.Replica], returned bool) {
	f.table.Replace(batch, returned)
	f.noteKnown()
}

func (f *Front) followReplicas(ctx context.Context) {
	source.New(source.Options[platform.Replica]{
		Clock: f.opts.Clock, Log: f.opts.Log, Name: "replicas", List: f.opts.Store.ListReplicas, Watch: f.opts.Store.WatchReplicas,
		First: func() []source.Parent[platform.Replica] {
			return first[platform.Replica](f.joined, f.opts.Seeds(), "Replicas")
		},
		Settled: f.settled, Wanted: f.startup.Wanted(),
		Parents: func() ([]source.Parent[platform.Replica], bool) {
			return parents[platform.Replica](f.joined, "Replicas")
		},
		Copy: f.joined.replicas, Replace: f.replaceReplicas, Change: f.table.Change, Reconnect: f.opts.Store.Reconnect, Bound: f.opts.Drain,
		Rejected: f.counts.Unreadable("replicas"), Outage: f.outage,
	}).Run(ctx)
}
