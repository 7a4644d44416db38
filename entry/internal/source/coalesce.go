package source

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
)

const (
	// minCoalesceDelay and maxCoalesceRatio bound the delay of the next watch after one that returned changes, the latter
	// as a fraction of Options.Bound. The delay doubles while watches end sooner than its maximum: a single change is
	// applied at once, and of many in a row one call returns all that arrived meanwhile. Without the delay, 282 replicas
	// that registered in the first second of a fleet caused 375 watches by two hosts, of 496 calls of the whole day.
	minCoalesceDelay = 20 * time.Millisecond
	maxCoalesceRatio = 0.06
)

// delayNextWatch delays the next watch after one that took the given time, so that one call returns all changes of the
// meantime.
func (f *Follower[T]) delayNextWatch(ctx context.Context, took time.Duration) {
	maxDelay := scale(maxCoalesceRatio, f.opts.Bound)
	if took >= maxDelay {
		f.coalesceDelay = 0
		return
	}
	f.coalesceDelay = min(max(minCoalesceDelay, 2*f.coalesceDelay), maxDelay)
	clock.Sleep(ctx, f.opts.Clock, f.coalesceDelay)
}
