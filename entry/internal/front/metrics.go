package front

import (
	"context"
	"slices"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/frontmetrics"
	"guavaspring.org/entry/internal/relay"
	"guavaspring.org/entry/internal/requestlog"
)

// newMetrics returns the metrics of this host.
func (f *Front) newMetrics() *frontmetrics.Metrics {
	return frontmetrics.New(frontmetrics.Options{
		StoreCalls: f.opts.StoreCalls, ConfigVersion: f.configVersion, ConfigAge: f.configAge, ReplicasAge: f.replicasAge,
		EvacuationsAge: f.evacuationsAge, EvacuatedZones: func() int { return len(f.zones.Names()) },
		Hosts: f.membership.hostCount, Running: f.drain.Running, Subqueries: f.subqueryServer.Running, Connections: f.table.Dialed,
		LinesSkipped: f.log.Skipped, LinesLost: f.opts.LinesLost, Collectors: slices.Concat(f.table.Collectors(), f.membership.peers.Collectors(), f.opts.Traffic.Collectors(), f.opts.Memory.Collectors(), f.opts.ControlMemory.Collectors(), f.startParts.Collectors()),
	})
}

// recordEnded records a request in the metrics and adds the age of the configuration and of the replicas to its log
// entry.
func (f *Front) recordEnded(e *requestlog.Entry) {
	e.ConfigAge, e.ReplicasAge = f.configAge(), f.replicasAge()
	f.metrics.RecordForwarded(e)
}

func (f *Front) configVersion() int64 {
	if t := f.config.Load(); t != nil {
		return t.Config().Version
	}
	return 0
}

func (f *Front) configAge() time.Duration { return age(f.opts.Clock.Now(), f.membership.configs) }

func (f *Front) replicasAge() time.Duration { return age(f.opts.Clock.Now(), f.membership.replicas) }

func (f *Front) evacuationsAge() time.Duration {
	return age(f.opts.Clock.Now(), f.membership.evacuations)
}

// neverConfirmed is the age of a copy that has not been loaded yet.
const neverConfirmed = -time.Second

// age returns the time since a copy was last confirmed to be as new as the store.
func age[T any](now time.Time, c *relay.Copy[T]) time.Duration {
	st, _ := c.State()
	if st.Confirmed.IsZero() {
		return neverConfirmed
	}
	return now.Sub(st.Confirmed)
}

// costsInterval is the time between two log lines of the host's costs, short enough to tell the costs of its start
// from those that follow.
const costsInterval = 15 * time.Second

// logCosts logs the host's traffic and store calls until ctx ends, and once more at the end.
func (f *Front) logCosts(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, f.opts.Clock, costsInterval)
		kv := f.opts.Traffic.Fields()
		for _, n := range f.opts.StoreCalls() {
			kv = append(kv, "store_"+n.For, n.Calls)
		}
		events.Costs.Log(f.opts.Log, kv...)
	}
}
