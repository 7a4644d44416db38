package drive

import (
	"context"
	"time"

	"guavaspring.org/load/internal/cpu"
)

func (d *Driver) pollFleets(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(pollInterval)) {
		for _, f := range d.opts.Fleets {
			f.Read(ctx)
		}
	}
}

func (d *Driver) readFleets(ctx context.Context) {
	for _, f := range d.opts.Fleets {
		f.Read(ctx)
	}
}

// counts holds the counters of the replicas since their start.
type counts struct{ requests, crashes, refused int }

func (d *Driver) counts() counts {
	var c counts
	for _, f := range d.opts.Fleets {
		c.refused += f.RefusedConnections()
		if f.Service == d.opts.Scene.Service {
			c.requests += f.Requests()
			c.crashes += f.Crashes()
		}
	}
	return c
}

func (d *Driver) cpuTime() time.Duration {
	var sum time.Duration
	for _, pid := range d.opts.PIDs {
		// A host that was killed during the run is left out.
		used, err := cpu.Of(pid)
		if err == nil {
			sum += used
		}
	}
	return sum
}
