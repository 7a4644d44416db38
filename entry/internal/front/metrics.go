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

func (f *Front) newMetrics() *frontmetrics.Metrics {
	return frontmetrics.New(frontmetrics.Options{
		StoreCalls: f.opts.StoreCalls, ConfigVersion: f.configVersion, ConfigAge: f.configAge, ReplicasAge: f.replicasAge,
		EvacuationsAge: f.evacuationsAge, EvacuatedZones: func() int { return len(f.zones.Names()) },
		Hosts: f.joined.count, Running: f.drain.Running, Gathers: f.gathers.Running, Connections: f.table.Dialed,
		LinesSkipped: f.log.Skipped, LinesLost: f.opts.LinesLost, More: append(f.joined.peers.Collectors(), f.opts.Traffic.Collectors()...),
	})
}

// ended counts a request and adds how fresh this host's knowledge was.
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

// never is the age of what was never known.
const never = -time.Second

// age returns how long before now the store was known to hold nothing newer than a copy.
func age[T any](now time.Time, c *relay.Copy[T]) time.Duration {
	st, _ := c.State()
	if st.Confirmed.IsZero() {
		return never
	}
	return now.Sub(st.Confirmed)
}

// costsEvery is how often the log says what the host costs: often enough to tell the start of a host from what follows.
const costsEvery = 15 * time.Second

// tellCosts writes what the host costs until ctx ends, and then once more.
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
