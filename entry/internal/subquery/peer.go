package subquery

import (
	"context"
	"errors"
)

// ErrUnreached means that a subquery did not leave this host.
var ErrUnreached = errors.New("subquery: the host can't be reached")

// Peer is a host that takes subqueries, as the one that asks it sees it.
type Peer struct {
	// ID names the host's process, Name is the host's address, for logs.
	ID, Name string
	Zone     string
	// Gather and Rest call the host; an error that is ErrUnreached means that nothing left this host.
	Gather func(ctx context.Context, args *Args) (Reply, error)
	Rest   func(ctx context.Context, args *RestArgs) (Reply, error)
	// Drop tells the host that nobody waits any more, without waiting for its answer.
	Drop func(job uint64)
}
