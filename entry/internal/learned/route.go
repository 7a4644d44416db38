package learned

import (
	"time"

	"guavaspring.org/entry/internal/latency"
	"guavaspring.org/entry/internal/patience"
	"guavaspring.org/entry/internal/unloaded"
)

// Route is what was learned of one route; the zero value knows nothing yet.
type Route struct {
	// Recent holds how long replies took lately, Unloaded how long they take while nothing queues.
	Recent   latency.Recent
	Unloaded unloaded.Time
	// Patience holds how long clients say that they wait.
	Patience patience.Usual
	// Arriving is how long the clients of all requests wait, those included that are refused before they are sent.
	Arriving patience.Usual
}

// Replied takes over how long a reply took.
func (r *Route) Replied(now time.Time, took time.Duration) {
	r.Recent.Observe(took)
	if median, ok := r.Recent.Median(); ok {
		r.Unloaded.Note(now, median)
	}
}
