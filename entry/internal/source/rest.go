package source

import "time"

// rest returns how long the store is left alone after a call that failed. Other hosts are asked meanwhile.
//
// The store may turn away some hosts and serve the others. A host that starts meanwhile would refuse every request for
// as long, though its neighbours know all that it lacks. Where it is away for all, the first host that reaches it again
// has all others know within one call.
func (f *Follower[T]) rest(watches bool) time.Duration {
	if f.opts.Outage.returnCount() != f.returns && f.olderPause == 0 {
		// Another follower has reached it since.
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
		// The others wait for this host, and would all call the store at the moment at which it did.
		pause = min(tryAgain, max(pause, left-part(leadPart, f.opts.Bound)))
	default:
		pause = tryAgain
	}
	return pause - f.opts.Clock.Now().Sub(tried)
}

// stale reports whether this host has to ask the store itself.
func (f *Follower[T]) stale() bool { return f.left() <= 0 }

// left returns how long what is known here is fresh enough.
func (f *Follower[T]) left() time.Duration {
	st, _ := f.opts.Copy.State()
	if st.Confirmed.IsZero() {
		return 0
	}
	return part(stalePart, f.opts.Bound) - f.opts.Clock.Now().Sub(st.Confirmed)
}

func part(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }

// longest returns the longest wait after a call that failed.
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

// backOff lets the wait after an answer of the store grow while its answers are too old to be taken over. Such a call
// confirms nothing, and would be made again at once.
func (f *Follower[T]) backOff(taken bool) {
	if taken {
		f.olderPause = 0
		return
	}
	f.olderPause = min(max(firstPause, 2*f.olderPause), hearPause)
}
