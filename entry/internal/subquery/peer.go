package subquery

import (
	"context"
	"errors"
)

// ErrNotSent means that no connection to the peer was available and nothing of the subquery was sent.
var ErrNotSent = errors.New("subquery: no connection to the peer")

// Peer is the client side of a host that accepts subqueries.
type Peer struct {
	// ID identifies the host's process, Name is the host's address, for logs.
	ID, Name string
	Zone     string
	// Gather and Rest call the host. An error that wraps ErrNotSent means that nothing was sent.
	Gather func(ctx context.Context, args *Args) (Reply, error)
	Rest   func(ctx context.Context, args *RestArgs) (Reply, error)
	// Drop cancels the subquery at the host, without waiting for a reply.
	Drop func(job uint64)
}
