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
	// maxIdleConns is the maximum number of idle connections that a caller keeps to one host.
	maxIdleConns = 8
	// maxAttempts is the maximum number of addresses that a caller contacts for one request.
	maxAttempts = 3
	// maxWriteRetries is the maximum number of retries of a write with unknown outcome.
	maxWriteRetries = 2
	// ticketsPerAddress is the number of write tickets that a caller requests for each address.
	ticketsPerAddress = 4
	addressTimeout    = 2 * time.Second
)

// ErrNoTicket means that no host issued a write ticket and none can take the write without one.
var ErrNoTicket = errors.New("no write ticket available")

// Caller requests addresses from any host, caches them for the time that the host permits, and sends its requests
// directly to them.
type Caller struct {
	client *caller.Client
	seeds  []netip.AddrPort

	mu    sync.Mutex
	cache map[string]*addresses
}

type addresses struct {
	list  []caller.Address
	until time.Time
}

// New returns a caller with the given name that requests addresses from the seeds.
func New(name string, seeds []netip.AddrPort) (*Caller, error) {
	client, err := caller.New(name, maxIdleConns)
	if err != nil {
		return nil, fmt.Errorf("caller %s: %w", name, err)
	}
	return &Caller{client: client, seeds: seeds, cache: map[string]*addresses{}}, nil
}

// QueryResult is the outcome of one query at its caller.
type QueryResult struct {
	Answer caller.Answer
	// Err is set if no host answered.
	Err error
	// Attempts is the number of attempts.
	Attempts int
	// Refusal is the time until the first refusal, zero if there was none.
	Refusal time.Duration
}

// QueryRequest is one query. Deadline is sent to the host; the context may end a little later, to receive an answer
// that the host cut off at the deadline.
type QueryRequest struct {
	Service  string
	ID       string
	Deadline time.Time
	Query    caller.Query
	// Retry permits one retry of a refused query after the delay given in the refusal, if that ends before the
	// deadline.
	Retry bool
}

// Query runs a query. If req.Retry is set, it retries a refused query once, no earlier than the refusal permits.
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
	again.Attempts, again.Refusal = again.Attempts+res.Attempts, refusal
	return again
}

// query sends a query to a cached address, and to another one when the connection fails.
func (c *Caller) query(ctx context.Context, req QueryRequest) QueryResult {
	var res QueryResult
	var failed []netip.AddrPort
	for res.Attempts < maxAttempts {
		addr, err := c.pick(ctx, req.Service, failed)
		if err != nil {
			res.Err = err
			return res
		}
		res.Attempts++
		res.Answer, res.Err = c.client.Query(ctx, caller.Request{
			Host: addr.Address, Service: req.Service, ID: req.ID, Deadline: max(time.Until(req.Deadline), time.Millisecond),
		}, req.Query)
		var problem *caller.ProblemError
		if res.Err == nil || errors.As(res.Err, &problem) || ctx.Err() != nil {
			return res
		}
		failed = append(failed, addr.Address)
		c.evict(req.Service, addr.Address)
	}
	return res
}

// WriteResult is the outcome of one write at its caller.
type WriteResult struct {
	// Outcomes lists the outcome of each attempt; a lost connection counts as unknown.
	Outcomes []caller.WriteOutcome
	// Reason is the reason of the last attempt.
	Reason string
}

// Write sends a write with a ticket and retries it with the same ticket while the outcome is unknown: once at the same
// host, then at another one.
//
// It takes a new ticket only if no connection to the ticket's host was established, since then the write did not run.
func (c *Caller) Write(ctx context.Context, service string, w caller.Write) (WriteResult, error) {
	var err error
	for range maxAttempts {
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
	for range 1 + maxWriteRetries {
		outcome, reason, err := c.send(ctx, target, service, ticket, w)
		if err != nil && len(res.Outcomes) == 0 {
			c.evict(service, target)
			return WriteResult{}, err
		}
		res.Outcomes, res.Reason = append(res.Outcomes, outcome), reason
		if outcome != caller.WriteUnknown || ctx.Err() != nil {
			break
		}
		if len(res.Outcomes) > 1 {
			if other, err := c.pick(ctx, service, []netip.AddrPort{addr}); err == nil {
				target = other.Address
			}
		}
	}
	return res, nil
}

// send returns an error only if no connection was established.
func (c *Caller) send(ctx context.Context, addr netip.AddrPort, service, ticket string, w caller.Write) (caller.WriteOutcome, string, error) {
	ans, err := c.client.Write(ctx, caller.Request{Host: addr, Service: service, ID: w.OpID, Deadline: timeLeft(ctx), Ticket: ticket}, w)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return caller.WriteUnknown, err.Error(), err
	case err != nil:
		return caller.WriteUnknown, err.Error(), nil
	}
	return ans.Outcome, ans.Reason, nil
}

// Explain requests the explanation of an answer from each host in turn, since only the host that answered has it.
func (c *Caller) Explain(ctx context.Context, id string, reply any) error {
	var err error
	for _, host := range c.seeds {
		if err = c.client.Get(ctx, caller.Request{Host: host}, "/v1/explanations/"+id, reply); err == nil {
			return nil
		}
	}
	return fmt.Errorf("explanation %s: %w", id, err)
}

// ticket returns a write ticket and the address that it is valid for.
func (c *Caller) ticket(ctx context.Context, service string) (netip.AddrPort, string, error) {
	for range 2 {
		if addr, ticket, ok := c.takeTicket(service); ok {
			return addr, ticket, nil
		}
		if err := c.refresh(ctx, service, nil); err != nil {
			return netip.AddrPort{}, "", err
		}
	}
	// A host that does not issue tickets yet accepts the write without one.
	addr, err := c.pick(ctx, service, nil)
	if err != nil {
		return netip.AddrPort{}, "", errors.Join(ErrNoTicket, err)
	}
	return addr.Address, "", nil
}

func (c *Caller) takeTicket(service string) (netip.AddrPort, string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.cache[service]
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

// pick returns a random address by weight, without those that failed. It requests new addresses if the cached ones are
// expired or have all failed.
func (c *Caller) pick(ctx context.Context, service string, failed []netip.AddrPort) (caller.Address, error) {
	if addr, ok := c.pickCached(service, failed); ok {
		return addr, nil
	}
	if err := c.refresh(ctx, service, failed); err != nil {
		return caller.Address{}, err
	}
	if addr, ok := c.pickCached(service, failed); ok {
		return addr, nil
	}
	return caller.Address{}, fmt.Errorf("no usable address of service %s left", service)
}

func (c *Caller) pickCached(service string, failed []netip.AddrPort) (caller.Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.cache[service]
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

// refresh requests new addresses from the seeds in random order, without those that failed.
func (c *Caller) refresh(ctx context.Context, service string, failed []netip.AddrPort) error {
	var last error
	for _, i := range rand.Perm(len(c.seeds)) {
		if slices.Contains(failed, c.seeds[i]) {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, addressTimeout)
		reply, err := c.client.Addresses(askCtx, caller.Request{Host: c.seeds[i], Service: service}, ticketsPerAddress)
		cancel()
		if err != nil || len(reply.Addresses) == 0 {
			last = err
			continue
		}
		c.mu.Lock()
		c.cache[service] = &addresses{list: reply.Addresses, until: time.Now().Add(time.Duration(reply.KeepMS) * time.Millisecond)}
		c.mu.Unlock()
		return nil
	}
	return fmt.Errorf("no host returned addresses of service %s: %w", service, last)
}

// evict removes an address from the cache after its connection failed.
func (c *Caller) evict(service string, addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept := c.cache[service]; kept != nil {
		kept.list = slices.DeleteFunc(slices.Clone(kept.list), func(a caller.Address) bool { return a.Address == addr })
	}
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}
