package faults

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// runTime is the time between two mass restarts: enough for the hosts to store what those that start need.
const runTime = 8 * time.Second

// MassRestarts kills all hosts at once and starts them again, until ctx is done.
func (d *Driver) MassRestarts(ctx context.Context) {
	for {
		sleep(ctx, runTime+time.Duration(d.Rand.Int64N(int64(time.Second))))
		if ctx.Err() != nil {
			return
		}
		d.Logf("kill all hosts and start them")
		for _, h := range d.Hosts {
			h.Signal(syscall.SIGKILL)
		}
		var all sync.WaitGroup
		for _, h := range d.Hosts {
			all.Go(func() {
				h.Wait(grace)
				d.start(ctx, h)
			})
		}
		all.Wait()
		d.Check.MassStart()
	}
}
