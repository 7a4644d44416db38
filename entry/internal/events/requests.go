package events

import "guavaspring.org/core/event"

// Events of admission, from 1350 on.
var (
	LimitMoved = event.New(1350, "admission_limit_moved", "The number of queries of a service that run at once on this host followed the upstream's replies.")
)
