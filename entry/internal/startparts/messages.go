package startparts

import (
	"net/netip"

	"guavaspring.org/entry/internal/allowance"
)

// Hint is what is known about the hosts before a start.
type Hint struct {
	// Parts is the number of shares that limits were divided into, zero if it is unknown.
	Parts int
	// Listed holds the peer addresses of the hosts that served, as far as they are known.
	Listed []netip.AddrPort
	// From is where the hint comes from.
	From allowance.PartsSource
}

// Args asks another host for its hint.
type Args struct{}

// Reply is the hint of another host.
type Reply struct {
	Parts  int
	Listed []netip.AddrPort
	// None reports that the store holds no number, so that there is no use in asking again.
	None bool
}
