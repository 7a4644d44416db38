package patience

import (
	"slices"
	"sync"
	"time"
)

const (
	// kept is how many of the newest requests count, and sortEvery how many come between two looks at their median.
	kept, sortEvery = 128, 16
)

// Usual is how long clients of a route say that they wait; the zero value has seen none.
//
// A client that was refused and comes back has less time left than when it came first, and says so. Nothing else tells
// it: each attempt is a request of its own. The median is the time of those that come first, as long as they are the
// more; a client with a time of its own that is shorter looks like one that comes back.
type Usual struct {
	mu     sync.Mutex
	times  [kept]time.Duration
	n      int
	median time.Duration
}

// Waited takes over the time for which a client says that it waits, zero where it doesn't say, and returns how long it
// has waited already.
func (u *Usual) Waited(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.times[u.n%kept] = left
	u.n++
	if u.n <= sortEvery || u.n%sortEvery == 0 {
		u.median = middle(u.times[:min(u.n, kept)])
	}
	return max(0, u.median-left)
}

func middle(times []time.Duration) time.Duration {
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
