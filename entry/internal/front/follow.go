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

// kind is one kind of the store's objects that a host follows.
type kind[T any] struct {
	// name is the kind's in logs and metrics, and method the one of relay.Methods by which hosts tell each other of it.
	name, method string
	list         func(ctx context.Context) (feed.Batch[T], error)
	watch        func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[T], error)
	copy         *relay.Copy[T]
	// replace takes a list of all objects, change those that changed; returned says that the store was away until a
	// moment ago.
	replace, change func(batch feed.Batch[T], returned bool)
	// bound is how soon a change has to be known here.
	bound time.Duration
}

// follow keeps f in step with a kind until ctx ends.
func follow[T any](ctx context.Context, f *Front, k kind[T]) {
	source.New(source.Options[T]{
		Clock: f.opts.Clock, Log: f.opts.Log, Name: k.name, List: k.list, Watch: k.watch,
		First:   func() []source.Parent[T] { return first[T](f.joined, f.opts.Seeds(), k.method) },
		Settled: f.settled, Wanted: f.startup.Wanted(),
		Parents: func() ([]source.Parent[T], bool) { return parents[T](f.joined, k.method) },
		Others:  func() []source.Parent[T] { return others[T](f.joined, k.method) },
		Copy:    k.copy, Replace: k.replace, Change: k.change, Reconnect: f.opts.Store.Reconnect, Bound: k.bound,
		Rejected: f.counts.Unreadable(k.name), Older: f.counts.Older(k.name), Outage: f.outage,
	}).Run(ctx)
}

func (f *Front) followConfig(ctx context.Context) {
	apply := func(batch feed.Batch[route.Config], _ bool) { f.applyConfig(batch) }
	follow(ctx, f, kind[route.Config]{
		name: "config", method: "Configs", list: f.opts.Store.ListConfig, watch: f.opts.Store.WatchConfig, copy: f.joined.configs,
		replace: apply, change: apply, bound: f.opts.Apply,
	})
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
		events.ConfigInForce.Log(f.opts.Log, "version", e.Value.Version, "routes", len(e.Value.Routes), "services", len(e.Value.Services),
			"customers", len(e.Value.Customers), "customers_unreadable", e.Value.Unreadable)
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
	follow(ctx, f, kind[platform.Evacuation]{
		name: "evacuations", method: "Evacuations", list: f.opts.Store.ListEvacuations, watch: f.opts.Store.WatchEvacuations,
		copy: f.joined.evacuations, replace: f.replaceEvacuations, change: f.changeEvacuations, bound: f.opts.Evacuate,
	})
}

func (f *Front) replaceReplicas(batch feed.Batch[platform.Replica], returned bool) {
	f.table.Replace(batch, returned)
	f.noteKnown()
}

func (f *Front) followReplicas(ctx context.Context) {
	follow(ctx, f, kind[platform.Replica]{
		name: "replicas", method: "Replicas", list: f.opts.Store.ListReplicas, watch: f.opts.Store.WatchReplicas, copy: f.joined.replicas,
		replace: f.replaceReplicas, change: f.table.Change, bound: f.opts.Drain,
	})
}
