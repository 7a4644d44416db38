package drive

import (
	"context"
	"encoding/json"

	"guavaspring.org/load/internal/check"
	"guavaspring.org/load/internal/scene"
	"guavaspring.org/load/internal/truth"
)

func (d *Driver) setFault(ctx context.Context, f scene.Fault) {
	if !sleepUntil(ctx, d.start.Add(f.At.Std())) {
		return
	}
	body, err := f.Body()
	if err != nil {
		d.recordFaultError(err)
		return
	}
	if f.Service == "" {
		d.recordFaultError(truth.SetPlatformFaults(ctx, d.opts.Platform, body))
		return
	}
	for _, fleet := range d.opts.Fleets {
		if fleet.Service != f.Service {
			continue
		}
		for _, i := range f.Replicas {
			d.recordFaultError(fleet.SetFaults(ctx, i, body))
		}
	}
}

// noFaults clears every lasting fault of a replica, so that the next run starts with healthy upstreams.
const noFaults = `{"slow":1,"straggler_share":0,"shed_share":0,"draining":false,"claim_load":"","claim_lag":"0s","crash_marker":"","lose_replies":0,"reset_before":0,"foreign":0}`

// clearFaults clears the faults of the run. A replica that is down can't be reached; it restarts without faults.
func (d *Driver) clearFaults() {
	ctx, cancel := context.WithTimeout(context.Background(), writeDeadline)
	defer cancel()
	for _, f := range d.opts.Scene.Faults {
		if f.Service == "" {
			_ = truth.SetPlatformFaults(ctx, d.opts.Platform, json.RawMessage(`{}`))
			continue
		}
		for _, fleet := range d.opts.Fleets {
			if fleet.Service != f.Service {
				continue
			}
			for _, i := range f.Replicas {
				_ = fleet.SetFaults(ctx, i, json.RawMessage(noFaults))
			}
		}
	}
}

// recordFaultError records a fault that could not be set among the false claims of the run, so that the run does not
// count as one with the fault.
func (d *Driver) recordFaultError(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, check.Violation{Kind: "fault_not_set", Detail: err.Error()})
}
