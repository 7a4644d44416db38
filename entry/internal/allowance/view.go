package allowance

import "guavaspring.org/entry/internal/member"

// View is a host's view of the member list.
type View struct {
	// Self is the ID of the host itself.
	Self string
	// Serving lists the serving hosts that are not suspected. The slice is replaced as a whole when one of them
	// changes.
	Serving []member.Host
	// Hosts lists all known hosts with their states.
	Hosts []member.Host
	// Settled reports that the host has had time to discover the others.
	Settled bool
	// Leaving reports that the host is shutting down and other hosts take over its buckets.
	Leaving bool
}
