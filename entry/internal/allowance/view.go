package allowance

import (
	"net/netip"

	"guavaspring.org/entry/internal/member"
)

// PartsSource identifies where a host that starts has the number of shares from.
type PartsSource string

// The sources of the number of shares.
const (
	PartsFromStore PartsSource = "store"
	PartsFromHost  PartsSource = "host"
)

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
	// Parts is a lower bound of the number of shares that limits are divided into. It was known to the store or to
	// another host when this one started; zero if it is unknown.
	Parts int
	// PartsFrom is where Parts comes from.
	PartsFrom PartsSource
	// Listed holds the addresses of the hosts that had a share when Parts was known.
	Listed []netip.AddrPort
	// Leaving reports that the host is shutting down and other hosts take over its buckets.
	Leaving bool
}

// idleListed returns the number of listed hosts that are alive but don't serve, as these use no share.
func (v *View) idleListed() int {
	if len(v.Listed) == 0 {
		return 0
	}
	idle := map[netip.AddrPort]bool{}
	for _, h := range v.Hosts {
		if h.State == member.StateAlive {
			idle[h.Peer] = true
		}
	}
	for _, h := range v.Serving {
		delete(idle, h.Peer)
	}
	n := 0
	for _, addr := range v.Listed {
		if idle[addr] {
			n++
		}
	}
	return n
}
