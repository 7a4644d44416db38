package front

import (
	"context"
	"time"

	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/relay"
	"guavaspring.org/entry/internal/source"
)

// kind describes one kind of the store's objects that a host keeps a copy of.
type kind[T any] struct {
	// name is the name of the kind in logs and metrics, and method the method of relay.Methods that other hosts serve it
	// by.
	name, method string
	list         func(ctx context.Context) (feed.Batch[T], error)
	watch        func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[T], error)
	copy         *relay.Copy[T]
	// replace applies a list of all objects, change a list of the changed ones; returned says that the store has just
	// become reachable again.
	replace, change func(batch feed.Batch[T], returned bool)
	// bound is the time within which a change has to reach this host.
	bound time.Duration
}

// follow lists and watches one kind of objects and applies its changes to f until ctx ends.
func follow[T any](ctx context.Context, f *Front, k kind[T]) {
	source.New(source.Options[T]{
		Clock: f.opts.Clock, Log: f.opts.Log, Name: k.name, List: k.list, Watch: k.watch,
		First:   func() []source.Parent[T] { return seedParents[T](f.membership, f.opts.Seeds(), k.method) },
		Settled: f.settled, Wanted: f.startup.Requested(),
		Parents: func() ([]source.Parent[T], bool) { return treeParents[T](f.membership, k.method) },
		Others:  func() []source.Parent[T] { return otherParents[T](f.membership, k.method) },
		Copy:    k.copy, Replace: k.replace, Change: k.change, Reconnect: f.opts.Store.Reconnect, Bound: k.bound,
		Rejected: f.metrics.UnreadableCounter(k.name), Older: f.metrics.OlderCounter(k.name), Outage: f.storeState,
	}).Run(ctx)
}

// followConfig applies changes of the configuration until ctx ends.
func (f *Front) followConfig(ctx context.Context) {
	apply := func(batch feed.Batch[route.Config], _ bool) { f.applyConfig(batch) }
	follow(ctx, f, kind[route.Config]{
		name: "config", method: "Configs", list: f.opts.Store.ListConfig, watch: f.opts.Store.WatchConfig, copy: f.membership.configs,
		replace: apply, change: apply, bound: f.opts.Apply,
	})
}

// applyConfig puts the newest configuration in force and ignores those that are not newer than the one in force.
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
		f.table.SetBalanced(e.Value.Ranked())
		f.config.Store(route.NewTable(e.Value))
		events.ConfigInForce.Log(f.opts.Log, "version", e.Value.Version, "routes", len(e.Value.Routes), "services", len(e.Value.Services),
			"customers", len(e.Value.Customers), "customers_unreadable", e.Value.Unreadable)
		if f.config.Load().LimitsCustomers() {
			f.startParts.Need()
		}
	}
	f.releaseWhenLoaded()
}

// loaded reports whether the host has loaded all data that requests need. The evacuations are part of it: a host that
// starts during an evacuation and has only the replicas would send requests to those of the evacuated zone.
func (f *Front) loaded() bool {
	return f.config.Load() != nil && f.table.Known() && (f.opts.Evacuate == 0 || f.zones.Known())
}

// releaseWhenLoaded releases the requests that wait for the host to load its data, once it has.
func (f *Front) releaseWhenLoaded() {
	if f.loaded() {
		f.startup.MarkReady()
	}
}

func (f *Front) replaceEvacuations(batch feed.Batch[platform.Evacuation], _ bool) {
	f.zones.Replace(batch)
	f.releaseWhenLoaded()
}

func (f *Front) changeEvacuations(batch feed.Batch[platform.Evacuation], _ bool) {
	f.zones.Change(batch)
}

func (f *Front) followEvacuations(ctx context.Context) {
	follow(ctx, f, kind[platform.Evacuation]{
		name: "evacuations", method: "Evacuations", list: f.opts.Store.ListEvacuations, watch: f.opts.Store.WatchEvacuations,
		copy: f.membership.evacuations, replace: f.replaceEvacuations, change: f.changeEvacuations, bound: f.opts.Evacuate,
	})
}

func (f *Front) replaceReplicas(batch feed.Batch[platform.Replica], returned bool) {
	f.table.Replace(batch, returned)
	f.releaseWhenLoaded()
}

func (f *Front) followReplicas(ctx context.Context) {
	follow(ctx, f, kind[platform.Replica]{
		name: "replicas", method: "Replicas", list: f.opts.Store.ListReplicas, watch: f.opts.Store.WatchReplicas, copy: f.membership.replicas,
		replace: f.replaceReplicas, change: f.table.Change, bound: f.opts.Drain,
	})
}
