package source

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// leastCollect and collectPart bound how long a watch is put off after one that brought changes, the second as a
	// part of the bound. It doubles while each watch ends sooner than it would be put off for at the most: changes that
	// come alone are known at once, and of many in a row one call brings all that came meanwhile. 282 replicas that
	// register in the first second of a fleet were 375 watches of two hosts, of 496 calls of the whole day.
	leastCollect = 20 * time.Millisecond
	collectPart  = 0.06
)

// putOff waits after a watch that took some time, so that the next one brings together what changes meanwhile.
func (f *Follower[T]) putOff(ctx context.Context, took time.Duration) {
	most := part(collectPart, f.opts.Bound)
	if took >= most {
		f.collect = 0
		return
	}
	f.collect = min(max(leastCollect, 2*f.collect), most)
	clock.Sleep(ctx, f.opts.Clock, f.collect)
}
