package front

import (
	"context"
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
		Hosts: f.joined.count, Running: f.drain.Running, Gathers: f.gathers.Running, Connections: f.table.Dialed,
		LinesSkipped: f.log.Skipped, LinesLost: f.opts.LinesLost, More: append(f.joined.peers.Collectors(), f.opts.Traffic.Collectors()...),
	})
}

// ended records a request in the metrics and adds the age of the configuration and of the replicas to its log entry.
func (f *Front) ended(e *requestlog.Entry) {
	e.ConfigAge, e.ReplicasAge = f.configAge(), f.replicasAge()
	f.counts.Forwarded(e)
}

func (f *Front) configVersion() int64 {
	if t := f.config.Load(); t != nil {
		return t.Config().Version
	}
	return 0
}

func (f *Front) configAge() time.Duration { return age(f.opts.Clock.Now(), f.joined.configs) }

func (f *Front) replicasAge() time.Duration { return age(f.opts.Clock.Now(), f.joined.replicas) }

func (f *Front) evacuationsAge() time.Duration { return age(f.opts.Clock.Now(), f.joined.evacuations) }

// never is the age of a copy that has not been loaded yet.
const never = -time.Second

// age returns the time since a copy was last confirmed to be as new as the store.
func age[T any](now time.Time, c *relay.Copy[T]) time.Duration {
	st, _ := c.State()
	if st.Confirmed.IsZero() {
		return never
	}
	return now.Sub(st.Confirmed)
}

// costsEvery is the time between two log lines of the host's costs, short enough to tell the costs of its start from
// those that follow.
const costsEvery = 15 * time.Second

// tellCosts logs the host's traffic and store calls until ctx ends, and once more at the end.
func (f *Front) tellCosts(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, f.opts.Clock, costsEvery)
		kv := f.opts.Traffic.Fields()
		for _, n := range f.opts.StoreCalls() {
			kv = append(kv, "store_"+n.For, n.Calls)
		}
		events.Costs.Log(f.opts.Log, kv...)
	}
}
