package hosts

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/caller"
)

const (
	// connections is the most idle connections that a caller keeps to one host.
	connections = 8
	// maxSends bounds how many hosts a caller tries for one request.
	maxSends = 3
	// resends is how often a caller sends a write again whose outcome it does not know.
	resends = 2
	// ticketsWanted is how many write tickets a caller asks for at once, for each address.
	ticketsWanted = 4
	addressWait   = 2 * time.Second
)

// ErrNoTicket means that no host handed out a write ticket.
var ErrNoTicket = errors.New("no write ticket is to be had")

// Caller is one caller: it asks any host for addresses, keeps the answer as long as it may, and connects there itself.
type Caller struct {
	client *caller.Client
	seeds  []netip.AddrPort

	mu   sync.Mutex
	kept map[string]*addresses
}

type addresses struct {
	list  []caller.Address
	until time.Time
}

// New returns a caller with a name of its own that first turns to the seeds.
func New(name string, seeds []netip.AddrPort) (*Caller, error) {
	client, err := caller.New(name, connections)
	if err != nil {
		return nil, fmt.Errorf("caller %s: %w", name, err)
	}
	return &Caller{client: client, seeds: seeds, kept: map[string]*addresses{}}, nil
}

// QueryResult is the end of one query as its caller saw it.
type QueryResult struct {
	Answer caller.Answer
	// Err is set where no host answered.
	Err error
	// Sends counts the hosts that the query was sent to.
	Sends int
	// Refusal is how long the first refusal took to arrive, zero where there was none.
	Refusal time.Duration
}

// QueryRequest is one query; Deadline is when its answer is wanted, and the context may wait a little longer for one
// that was cut off then.
type QueryRequest struct {
	Service  string
	ID       string
	Deadline time.Time
	Query    caller.Query
	// Retry asks to send a refused query once more, after the time that the refusal names, where the deadline leaves
	// it.
	Retry bool
}

// Query runs a query; one that is refused is sent again at the time that the refusal names, and never earlier.
func (c *Caller) Query(ctx context.Context, req QueryRequest) QueryResult {
	start := time.Now()
	res := c.query(ctx, req)
	if res.Err != nil || res.Answer.Outcome != caller.OutcomeRefused {
		return res
	}
	refusal := time.Since(start)
	res.Refusal = refusal
	wait := time.Duration(res.Answer.RetryAfterMS) * time.Millisecond
	if !req.Retry || wait <= 0 || time.Now().Add(wait).After(req.Deadline) {
		return res
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return res
	}
	again := c.query(ctx, req)
	again.Sends, again.Refusal = again.Sends+res.Sends, refusal
	return again
}

// query sends a query to an address of the kept answer, and to another one when a connection fails.
func (c *Caller) query(ctx context.Context, req QueryRequest) QueryResult {
	var res QueryResult
	var failed []netip.AddrPort
	for res.Sends < maxSends {
		addr, err := c.pick(ctx, req.Service, failed)
		if err != nil {
			res.Err = err
			return res
		}
		res.Sends++
		res.Answer, res.Err = c.client.Query(ctx, caller.Request{
			Host: addr.Address, Service: req.Service, ID: req.ID, Deadline: max(time.Until(req.Deadline), time.Millisecond),
		}, req.Query)
		var problem *caller.ProblemError
		if res.Err == nil || errors.As(res.Err, &problem) || ctx.Err() != nil {
			return res
		}
		failed = append(failed, addr.Address)
		c.forget(req.Service, addr.Address)
	}
	return res
}

// WriteResult is what a caller was told of one write.
type WriteResult struct {
	// Told lists what each send came to; a lost connection counts as unknown.
	Told []caller.WriteOutcome
	// Reason is the reason given last.
	Reason string
}

// Write sends a write under one ticket, and again under the same ticket while its outcome is unknown: at first to the
// same host, then to another.
//
// A new ticket is taken only where no connection to the first one's host was made: then the write surely did not run.
func (c *Caller) Write(ctx context.Context, service string, w caller.Write) (WriteResult, error) {
	var err error
	for range maxSends {
		var res WriteResult
		if res, err = c.writeOnce(ctx, service, w); err == nil || ctx.Err() != nil {
			return res, err
		}
	}
	return WriteResult{}, err
}

func (c *Caller) writeOnce(ctx context.Context, service string, w caller.Write) (WriteResult, error) {
	addr, ticket, err := c.ticket(ctx, service)
	if err != nil {
		return WriteResult{}, err
	}
	var res WriteResult
	target := addr
	for range 1 + resends {
		outcome, reason, err := c.send(ctx, target, service, ticket, w)
		if err != nil && len(res.Told) == 0 {
			c.forget(service, target)
			return WriteResult{}, err
		}
		res.Told, res.Reason = append(res.Told, outcome), reason
		if outcome != caller.WriteUnknown || ctx.Err() != nil {
			break
		}
		if len(res.Told) > 1 {
			if other, err := c.pick(ctx, service, []netip.AddrPort{addr}); err == nil {
				target = other.Address
			}
		}
	}
	return res, nil
}

// send returns an error only where no connection was made.
func (c *Caller) send(ctx context.Context, addr netip.AddrPort, service, ticket string, w caller.Write) (caller.WriteOutcome, string, error) {
	ans, err := c.client.Write(ctx, caller.Request{Host: addr, Service: service, ID: w.OpID, Deadline: left(ctx), Ticket: ticket}, w)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return caller.WriteUnknown, err.Error(), err
	case err != nil:
		return caller.WriteUnknown, err.Error(), nil
	}
	return ans.Outcome, ans.Reason, nil
}

// Explain reads the explanation of an answer from the hosts in turn, since only the one that gave it knows.
func (c *Caller) Explain(ctx context.Context, id string, reply any) error {
	var err error
	for _, host := range c.seeds {
		if err = c.client.Get(ctx, caller.Request{Host: host}, "/v1/explanations/"+id, reply); err == nil {
			return nil
		}
	}
	return fmt.Errorf("explanation %s: %w", id, err)
}

// ticket takes one write ticket and the address it is good for.
func (c *Caller) ticket(ctx context.Context, service string) (netip.AddrPort, string, error) {
	for range 2 {
		if addr, ticket, ok := c.takeTicket(service); ok {
			return addr, ticket, nil
		}
		if err := c.refresh(ctx, service, nil); err != nil {
			return netip.AddrPort{}, "", err
		}
	}
	// A host that hands out no tickets yet answers the write itself.
	addr, err := c.pick(ctx, service, nil)
	if err != nil {
		return netip.AddrPort{}, "", errors.Join(ErrNoTicket, err)
	}
	return addr.Address, "", nil
}

func (c *Caller) takeTicket(service string) (netip.AddrPort, string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.kept[service]
	if kept == nil || time.Now().After(kept.until) {
		return netip.AddrPort{}, "", false
	}
	var holders []int
	for i, a := range kept.list {
		if len(a.Tickets) > 0 {
			holders = append(holders, i)
		}
	}
	if len(holders) == 0 {
		return netip.AddrPort{}, "", false
	}
	a := &kept.list[holders[rand.IntN(len(holders))]]
	ticket := a.Tickets[0]
	a.Tickets = a.Tickets[1:]
	return a.Address, ticket, true
}

// pick returns an address by weight that is not among those that failed, asking for a new answer where the kept one is
// too old.
func (c *Caller) pick(ctx context.Context, service string, failed []netip.AddrPort) (caller.Address, error) {
	if addr, ok := c.fromKept(service, failed); ok {
		return addr, nil
	}
	if err := c.refresh(ctx, service, failed); err != nil {
		return caller.Address{}, err
	}
	if addr, ok := c.fromKept(service, failed); ok {
		return addr, nil
	}
	return caller.Address{}, fmt.Errorf("no address of %s is left to try", service)
}

func (c *Caller) fromKept(service string, failed []netip.AddrPort) (caller.Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.kept[service]
	if kept == nil || time.Now().After(kept.until) {
		return caller.Address{}, false
	}
	total := 0.0
	for _, a := range kept.list {
		if !slices.Contains(failed, a.Address) {
			total += a.Weight
		}
	}
	at := rand.Float64() * total
	for _, a := range kept.list {
		if slices.Contains(failed, a.Address) {
			continue
		}
		if at -= a.Weight; at < 0 {
			return a, true
		}
	}
	return caller.Address{}, false
}

// refresh asks the seeds, in random order, for a new address answer.
func (c *Caller) refresh(ctx context.Context, service string, failed []netip.AddrPort) error {
	var last error
	for _, i := range rand.Perm(len(c.seeds)) {
		if slices.Contains(failed, c.seeds[i]) {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, addressWait)
		reply, err := c.client.Addresses(askCtx, caller.Request{Host: c.seeds[i], Service: service}, ticketsWanted)
		cancel()
		if err != nil || len(reply.Addresses) == 0 {
			last = err
			continue
		}
		c.mu.Lock()
		c.kept[service] = &addresses{list: reply.Addresses, until: time.Now().Add(time.Duration(reply.KeepMS) * time.Millisecond)}
		c.mu.Unlock()
		return nil
	}
	return fmt.Errorf("no host gave addresses of %s: %w", service, last)
}

// forget drops an address whose connection failed from the kept answer.
func (c *Caller) forget(service string, addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept := c.kept[service]; kept != nil {
		kept.list = slices.DeleteFunc(slices.Clone(kept.list), func(a caller.Address) bool { return a.Address == addr })
	}
}

func left(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}
