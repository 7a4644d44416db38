package routestats

import (
	"time"

	"guavaspring.org/entry/internal/baselatency"
	"guavaspring.org/entry/internal/clienttimeout"
	"guavaspring.org/entry/internal/latency"
)

// Route holds the statistics of one route. The zero value is ready to use.
type Route struct {
	// Recent holds the newest reply times, Unloaded the estimated reply time without queueing.
	Recent   latency.Recent
	Unloaded baselatency.Estimator
	// Patience tracks the remaining time that clients state.
	Patience clienttimeout.Tracker
	// Arriving tracks it for all requests, including those that are refused before any attempt is sent.
	Arriving clienttimeout.Tracker
}

// Replied records the time that a reply took.
func (r *Route) Replied(now time.Time, took time.Duration) {
	r.Recent.Observe(took)
	if median, ok := r.Recent.Median(); ok {
		r.Unloaded.Observe(now, median)
	}
}
