package source

import "time"

// rest returns the remaining backoff after a failed call to the store. Other hosts are asked meanwhile.
//
// The store may reject some hosts and serve the others. A host that starts meanwhile would refuse every request until
// the store accepts it, though its neighbors have all the data. When the store is down for all hosts, the first one
// that reaches it again updates the others within one call.
func (f *Follower[T]) rest(watches bool) time.Duration {
	if f.opts.Outage.returnCount() != f.returns && f.olderPause == 0 {
		// Another follower has reached the store since.
		return 0
	}
	down, tried, pause := f.down || f.olderPause > 0, f.tried, max(f.pause, f.olderPause)
	if at, away := f.opts.Outage.failedAt(); away && !watches && at.After(tried) {
		down, tried, pause = true, at, hearPause
	}
	if !down {
		return 0
	}
	pause = min(pause, f.longest(watches))
	switch left := f.left(); {
	case left <= 0:
	case watches:
		// The other hosts wait for this one, and would all call the store at the same moment if it called only when its copy
		// is stale.
		pause = min(tryAgain, max(pause, left-part(leadPart, f.opts.Bound)))
	default:
		pause = tryAgain
	}
	return pause - f.opts.Clock.Now().Sub(tried)
}

// stale reports whether the copy is so old that this host has to ask the store itself.
func (f *Follower[T]) stale() bool { return f.left() <= 0 }

// left returns how long the copy stays fresh.
func (f *Follower[T]) left() time.Duration {
	st, _ := f.opts.Copy.State()
	if st.Confirmed.IsZero() {
		return 0
	}
	return part(stalePart, f.opts.Bound) - f.opts.Clock.Now().Sub(st.Confirmed)
}

func part(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }

// longest returns the longest backoff after a failed call.
func (f *Follower[T]) longest(watches bool) time.Duration {
	st, _ := f.opts.Copy.State()
	switch {
	case st.Confirmed.IsZero():
		return blindPause
	case watches:
		return watchPause
	}
	return hearPause
}

// backOff increases the backoff while replies of the store are too old to apply, and resets it otherwise. A call with
// such a reply confirms nothing, and would be repeated at once.
func (f *Follower[T]) backOff(taken bool) {
	if taken {
		f.olderPause = 0
		return
	}
	f.olderPause = min(max(firstPause, 2*f.olderPause), hearPause)
}
