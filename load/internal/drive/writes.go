package drive

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/arrivals"
	"guavaspring.org/load/internal/check"
	"guavaspring.org/load/internal/hosts"
)

func (d *Driver) sendWrites(ctx context.Context) {
	w := d.opts.Scene.Writes
	if w.Rate <= 0 {
		return
	}
	arrive := arrivals.New(w.Rate, d.opts.Seed+1)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		at := arrive.Next()
		if at > d.opts.Scene.Duration.Std() || !sleepUntil(ctx, d.start.Add(at)) {
			return
		}
		from := d.callers[n%len(d.callers)]
		wg.Go(func() { d.write(ctx, from, n) })
	}
}

func (d *Driver) write(ctx context.Context, from *hosts.Caller, n int) {
	ctx, cancel := context.WithTimeout(ctx, writeDeadline)
	defer cancel()
	op := fmt.Sprintf("%s-w%d", d.opts.Run, n)
	res, err := from.Write(ctx, d.opts.Scene.Writes.Service, caller.Write{OpID: op, Payload: json.RawMessage(`{"bundles":1}`)})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.writeOutcomes["not_sent"]++
		d.writeReasons["not_sent: "+err.Error()]++
		return
	}
	d.writes = append(d.writes, check.Write{OpID: op, Outcomes: res.Outcomes})
	d.writeOutcomes[string(finalOutcome(res.Outcomes))]++
	if outcome := finalOutcome(res.Outcomes); outcome != caller.WriteDone {
		d.writeReasons[string(outcome)+": "+res.Reason]++
	}
}

// finalOutcome returns the last outcome: a known outcome of a later attempt replaces an unknown one.
func finalOutcome(outcomes []caller.WriteOutcome) caller.WriteOutcome {
	return outcomes[len(outcomes)-1]
}
