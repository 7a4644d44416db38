package source

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// leastCollect and collectPart bound the delay of the next watch after one that returned changes, the latter as a
	// fraction of Options.Bound. The delay doubles while watches end sooner than its maximum: a single change is applied
	// at once, and of many in a row one call returns all that arrived meanwhile. Without the delay, 282 replicas that
	// registered in the first second of a fleet caused 375 watches by two hosts, of 496 calls of the whole day.
	leastCollect = 20 * time.Millisecond
	collectPart  = 0.06
)

// putOff delays the next watch after one that took the given time, so that one call returns all changes of the
// meantime.
func (f *Follower[T]) putOff(ctx context.Context, took time.Duration) {
	most := part(collectPart, f.opts.Bound)
	if took >= most {
		f.collect = 0
		return
	}
	f.collect = min(max(leastCollect, 2*f.collect), most)
	clock.Sleep(ctx, f.opts.Clock, f.collect)
}
