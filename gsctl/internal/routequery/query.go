package routequery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"strings"

	"guavaspring.org/core/routeplan"
)

// maxReplyBytes bounds what is read of a reply; routeplan.Plan is bounded far below it.
const maxReplyBytes = 16 << 20

// Options configures a Query.
type Options struct {
	// Peer is the address of the host for other hosts.
	Peer netip.AddrPort
	Out  io.Writer
	// JSON prints the reply as JSON. All prints the candidates of plain choices, too.
	JSON, All bool
}

// Query asks one host.
type Query struct{ opts Options }

// New returns a query.
func New(opts Options) *Query { return &Query{opts: opts} }

// Run asks the host and prints its reply.
func (q *Query) Run(ctx context.Context, args routeplan.Args) error {
	plan, err := q.ask(ctx, args)
	if err != nil {
		return err
	}
	if !q.opts.JSON {
		return printPlan(q.opts.Out, plan, q.opts.All)
	}
	enc := json.NewEncoder(q.opts.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(plan)
}

// ask calls the host over a connection of its own.
func (q *Query) ask(ctx context.Context, args routeplan.Args) (*routeplan.Plan, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", q.opts.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("host %s does not accept connections at its peer address: %w", q.opts.Peer, err)
	}
	client := rpc.NewClient(boundedConn{Conn: conn, r: io.LimitReader(conn, maxReplyBytes)})
	defer func() { _ = client.Close() }()
	var plan routeplan.Plan
	call := client.Go(routeplan.Method, &args, &plan, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return nil, fmt.Errorf("host %s did not reply in time: %w", q.opts.Peer, context.Cause(ctx))
	}
	if call.Error != nil {
		return nil, q.explainError(call.Error)
	}
	return &plan, nil
}

// explainError names the host and the cause of a failed call.
func (q *Query) explainError(err error) error {
	var refused rpc.ServerError
	switch {
	case !errors.As(err, &refused):
		return fmt.Errorf("host %s sent no reply that this program can read; is this its peer address, and of a program of the same version? %w", q.opts.Peer, err)
	case strings.Contains(err.Error(), "can't find"):
		return fmt.Errorf("host %s can't explain routes: its program is of an older version, or does not run with a settings file", q.opts.Peer)
	}
	return fmt.Errorf("host %s: %w", q.opts.Peer, err)
}

// boundedConn is a connection of which a bounded number of bytes is read.
type boundedConn struct {
	net.Conn
	r io.Reader
}

func (c boundedConn) Read(b []byte) (int, error) { return c.r.Read(b) }
