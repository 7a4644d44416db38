package allowance

import "guavaspring.org/entry/internal/member"

// View is what a host knows of the others.
type View struct {
	// Self is the id of the host itself.
	Self string
	// Serving are the hosts that clients are sent to and that are not suspected; the slice is replaced as a whole when
	// one of them changes.
	Serving []member.Host
	// Hosts are all that are known, with their states.
	Hosts []member.Host
	// Settled says that the host has had the time to meet the others.
	Settled bool
	// Leaving says that the host stops, and that others take over what it keeps.
	Leaving bool
}
