package source

import "time"

// remainingBackoff returns the remaining backoff after a failed call to the store. Other hosts are asked meanwhile.
//
// The store may reject some hosts and serve the others. A host that starts meanwhile would refuse every request until
// the store accepts it, though its neighbors have all the data. When the store is down for all hosts, the first one
// that reaches it again updates the others within one call.
func (f *Follower[T]) remainingBackoff(watches bool) time.Duration {
	if f.opts.Outage.recoveryCount() != f.recoveries && f.olderBackoff == 0 {
		// Another follower has reached the store since.
		return 0
	}
	down, lastCall, backoff := f.down || f.olderBackoff > 0, f.lastCall, max(f.backoff, f.olderBackoff)
	if at, failing := f.opts.Outage.failedAt(); failing && !watches && at.After(lastCall) {
		down, lastCall, backoff = true, at, maxBackoff
	}
	if !down {
		return 0
	}
	backoff = min(backoff, f.backoffLimit(watches))
	switch left := f.freshFor(); {
	case left <= 0:
	case watches:
		// The other hosts wait for this one, and would all call the store at the same moment if it called only when its copy
		// is stale.
		backoff = min(upToDateBackoff, max(backoff, left-scale(relistRatio, f.opts.Bound)))
	default:
		backoff = upToDateBackoff
	}
	return backoff - f.opts.Clock.Now().Sub(lastCall)
}

// stale reports whether the copy is so old that this host has to ask the store itself.
func (f *Follower[T]) stale() bool { return f.freshFor() <= 0 }

// freshFor returns how long the copy stays fresh.
func (f *Follower[T]) freshFor() time.Duration {
	st, _ := f.opts.Copy.State()
	if st.Confirmed.IsZero() {
		return 0
	}
	return scale(staleRatio, f.opts.Bound) - f.opts.Clock.Now().Sub(st.Confirmed)
}

func scale(ratio float64, bound time.Duration) time.Duration {
	return time.Duration(ratio * float64(bound))
}

// backoffLimit returns the longest backoff after a failed call.
func (f *Follower[T]) backoffLimit(watches bool) time.Duration {
	st, _ := f.opts.Copy.State()
	switch {
	case st.Confirmed.IsZero():
		return maxEmptyBackoff
	case watches:
		return maxWatcherBackoff
	}
	return maxBackoff
}

// updateOlderBackoff increases the backoff while replies of the store are too old to apply, and resets it otherwise. A
// call with such a reply confirms nothing, and would be repeated at once.
func (f *Follower[T]) updateOlderBackoff(applied bool) {
	if applied {
		f.olderBackoff = 0
		return
	}
	f.olderBackoff = min(max(minBackoff, 2*f.olderBackoff), maxBackoff)
}
