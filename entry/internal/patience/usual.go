package patience

import (
	"slices"
	"sync"
	"time"
)

const (
	// kept is the number of newest requests that count, sortEvery the number of requests between updates of their
	// median.
	kept, sortEvery = 128, 16
)

// Usual tracks the remaining time that clients of a route state in their requests. The zero value is ready to use.
//
// A client that retries after a refusal states less remaining time than in its first attempt. Nothing else marks a
// retry: each attempt is a request of its own. The median is the time-out of first attempts as long as these are the
// majority. A client with a shorter time-out of its own is indistinguishable from one that retries.
type Usual struct {
	mu     sync.Mutex
	times  [kept]time.Duration
	n      int
	median time.Duration
}

// Waited records the remaining time that a client states, zero if it states none, and returns how long the client has
// waited already.
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
