package allowance

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/bucket"
	"guavaspring.org/entry/internal/member"
)

const (
	// askFor is the timeout of a request to a keeper, which is in the same region.
	askFor = 60 * time.Millisecond
	// askPart is the fraction of a request's remaining time that the wait for a keeper may take.
	askPart = 0.25
	// keeperRest is the backoff after a host failed to reply, and declinedRest the backoff after it declined.
	keeperRest, declinedRest = time.Second, 200 * time.Millisecond
	// These are fractions of Options.Slack: spare is what a bucket holds beyond the burst, bridge is what a deputy or a
	// new keeper grants in place of shares that may be in use elsewhere, and advance is what hosts that reach neither
	// keeper nor deputy may use in advance. The rest covers requests that were admitted before they were reported to
	// other hosts.
	spare, bridge, advance = 0.2, 0.3, 0.3
	// faster is the fraction of Options.Excess by which buckets are refilled faster than the limit. Clocks and latencies
	// differ between hosts, and a customer just within its limit must not be refused.
	faster = 0.4
	// youngFor is how long a host that has just discovered the others grants only youngPart of a limit and of its slack.
	// If all hosts start at once, each may know only half of the others and compute shares twice too large.
	youngFor, youngPart = 2 * time.Second, 0.5
	// mostAsks is the maximum number of hosts asked for one request: the keeper in this host's view, the keeper that it
	// refers to, and a deputy.
	mostAsks = 3
	// forgetEvery is the interval at which the accounts of customers that left the configuration are dropped.
	forgetEvery = 10 * time.Second
)

// Options configures a Ledger.
type Options struct {
	Clock clock.Clock
	// View returns the host's current view of the member list.
	View func() View
	// Customer returns the customer with the given name in the configuration in force, or nil.
	Customer func(name string) *route.Customer
	// Ask requests tokens from another host.
	Ask func(ctx context.Context, keeper member.Host, args Args) (Reply, error)
	// Failed is called with a keeper that did not reply. It may be nil.
	Failed func(keeper member.Host, err error)
	// Slack is the number of requests over a customer's limit that may run in a window on all hosts together.
	Slack int
	// Excess is the fraction of a limit that may run over it in addition to Slack.
	Excess float64
}

// Ledger enforces the limits of all customers on one host.
//
// Requests of a customer may arrive at any host, while the limit applies to all hosts together. A limit is divided into
// equal shares, one per serving host. Hosts that reach each other pool their shares in one token bucket, held by the
// customer's keeper, which is the host that ranks first for the customer. Every host asks the keeper for tokens. Hosts
// that can't reach the keeper pool their shares at its deputies, which rank next, and a host that reaches none of them
// uses only its own share. A host doesn't use its share for partFor after it asked for tokens, and the host that it asked
// doesn't use that share for longer than that. Options.Slack and Options.Excess cover the moments in which a keeper counts
// the shares of hosts that don't ask for tokens.
//
// Fixed shares alone fail small customers: with a limit of one request a second and clients spread over fifty hosts, no
// host has a whole token.
type Ledger struct {
	opts Options

	mu       sync.Mutex
	fleet    fleet
	accounts map[string]*account
	// resting holds the end of the backoff of each host that failed or declined, by ID.
	resting  map[string]time.Time
	forgotAt time.Time
}

// New returns a ledger without accounts.
func New(opts Options) *Ledger {
	if opts.Failed == nil {
		opts.Failed = func(member.Host, error) {}
	}
	return &Ledger{opts: opts, fleet: newFleet(), accounts: map[string]*account{}, resting: map[string]time.Time{}}
}

// Take decides whether one request is within its customer's limit.
func (l *Ledger) Take(ctx context.Context, req Request) Decision {
	c := req.Customer
	if !c.Limited() {
		return Decision{Admitted: true, Source: SourceUnlimited}
	}
	l.count(c)
	var from referral
	for range mostAsks {
		now := l.opts.Clock.Now()
		d, ask := l.decide(now, &req, from)
		if ask == nil {
			return d
		}
		rep, err := l.ask(ctx, ask, req.Deadline.Sub(now))
		if d, ok := l.answered(c, ask, rep, err); ok {
			return d
		}
		if rep.Keeper.ID != "" {
			from = referral{by: ask.host.ID, to: rep.Keeper}
		}
	}
	return l.own(c)
}

// referral names the keeper that a host referred to in place of a decision.
type referral struct {
	by string
	to member.Host
}

// Look records the serving hosts. Called regularly, it keeps the times since which each has served accurate.
func (l *Ledger) Look() {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
}

func (l *Ledger) ask(ctx context.Context, q *question, left time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(askFor, time.Duration(askPart*float64(left))))
	defer cancel()
	return l.opts.Ask(ctx, q.host, q.args)
}

// question is a request for tokens to another host.
type question struct {
	host member.Host
	args Args
	// from is the source of a decision by the reply.
	from Source
}

// count adds a request to the customer's average request rate.
func (l *Ledger) count(c *route.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(c.Name).count(l.opts.Clock.Now())
}

// decide decides from local state, or returns the request to send to another host.
func (l *Ledger) decide(now time.Time, req *Request, from referral) (Decision, *question) {
	c, v := req.Customer, l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	a := l.account(c.Name)
	r := l.fleet.of(c.Name)
	switch {
	case r.keeper == v.Self && v.Settled:
		return taken(now, l.pool(now, c, a, l.self(now, a)), req.Again, SourceKept), nil
	case !req.Again && a.borrow(now):
		return Decision{Admitted: true, Source: SourceLoan}, nil
	case now.Before(a.refusedUntil):
		a.refused++
		return Decision{Source: SourceRefused, RetryAfter: a.comeBack.Sub(now)}, nil
	case l.reachable(now, v, from.to.ID):
		return Decision{}, l.question(now, v, req, a, from.to)
	case l.reachable(now, v, r.keeper):
		q := l.question(now, v, req, a, l.fleet.host(r.keeper))
		// The host that the keeper referred to doesn't reply.
		q.args.Deputy = from.by == r.keeper
		return Decision{}, q
	case r.first(v.Self) && v.Settled:
		return taken(now, l.pool(now, c, a, l.self(now, a)), req.Again, SourceDeputy), nil
	}
	for _, id := range r.deputies {
		if l.reachable(now, v, id) {
			q := l.question(now, v, req, a, l.fleet.host(id))
			q.from, q.args.Deputy = SourceDeputy, true
			return Decision{}, q
		}
	}
	return l.alone(now, v, c, a), nil
}

// reachable reports whether the given ID is that of another host that is not in backoff.
func (l *Ledger) reachable(now time.Time, v View, id string) bool {
	return id != "" && id != v.Self && !now.Before(l.resting[id])
}

func (l *Ledger) question(now time.Time, v View, req *Request, a *account, host member.Host) *question {
	q := &question{host: host, from: SourceKeeper, args: Args{
		Customer: req.Customer.Name, From: v.Self, Again: req.Again, Want: a.want(), Refused: a.unreported(),
		Serves: l.fleet.serves(), Free: a.free(now, host.ID), Parts: l.fleet.known(), Old: !l.fleet.young(now),
	}}
	a.asking++
	return q
}

// take takes up to want tokens from a bucket.
//
// Retries of refused clients get tokens only while the bucket is more than half full. If the refused requests of a customer
// far over its limit were served before new ones, all of its responses would be late.
func take(now time.Time, b *bucket.Bucket, again bool, want int) int {
	if again {
		return b.TakeSpare(now, 1)
	}
	return b.Take(now, want)
}

// taken decides one request by taking a token from a bucket.
func taken(now time.Time, b *bucket.Bucket, again bool, from Source) Decision {
	if take(now, b, again, 1) == 1 {
		return Decision{Admitted: true, Source: from}
	}
	return Decision{Source: from, RetryAfter: b.Refuse(now)}
}

// update applies a view of the member list and drops expired state.
func (l *Ledger) update(now time.Time, v View) {
	if l.fleet.update(now, v) {
		for name, a := range l.accounts {
			a.assign(now, l.fleet.keeps(name))
		}
	}
	if now.Sub(l.forgotAt) < forgetEvery {
		return
	}
	l.forgotAt = now
	for name := range l.accounts {
		if l.opts.Customer(name) == nil {
			delete(l.accounts, name)
		}
	}
	for id, until := range l.resting {
		if !now.Before(until) {
			delete(l.resting, id)
		}
	}
}

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{parts: partners{}}
		a.assign(l.fleet.since, l.fleet.keeps(name))
		l.accounts[name] = a
	}
	return a
}

// asker is a host that asks for tokens. If it serves, its share may be used after the duration free.
type asker struct {
	id     string
	serves bool
	free   time.Duration
}

// self returns the asker for requests that arrive at this host.
func (l *Ledger) self(now time.Time, a *account) asker {
	return asker{id: l.fleet.self, serves: l.fleet.serves(), free: a.free(now, l.fleet.self)}
}

// pool records a request for tokens by asker and returns the updated pool. On a host that is neither the keeper nor the
// first deputy, the pool gets no slack.
func (l *Ledger) pool(now time.Time, c *route.Customer, a *account, asker asker) *bucket.Bucket {
	if asker.serves {
		a.parts.ask(now, asker.id, asker.free)
	}
	slack := float64(l.opts.Slack)
	c = l.generous(c)
	if l.fleet.young(now) {
		slack *= youngPart
		c.PerSecond *= youngPart
	}
	switch r := l.fleet.of(c.Name); {
	case r.keeper == l.fleet.self:
		return a.keep(now, c, &l.fleet, slack)
	case r.first(l.fleet.self):
		return a.stand(now, c, &l.fleet, slack)
	}
	return a.stand(now, c, &l.fleet, 0)
}

// generous returns a copy of the customer with the rate at which its buckets are refilled.
func (l *Ledger) generous(c *route.Customer) *route.Customer {
	more := *c
	more.PerSecond *= 1 + faster*l.opts.Excess
	return &more
}

// own decides by this host's own share of the limit, once no other host could decide.
func (l *Ledger) own(c *route.Customer) Decision {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	return l.alone(now, v, c, l.account(c.Name))
}

// alone decides by this host's own share of the limit. A host that has just started can't compute its share yet. It may
// use one token in advance once it has discovered other hosts and only a few of them rank before it.
func (l *Ledger) alone(now time.Time, v View, c *route.Customer, a *account) Decision {
	share, tokens := 0.0, 0.0
	place := l.fleet.of(c.Name).place
	serves := l.fleet.serves()
	if serves && v.Settled {
		share = 1 / l.fleet.parts()
	}
	if serves && (v.Settled || len(l.fleet.serving) > 1) && float64(place) < advance*float64(l.opts.Slack) {
		tokens = 1
	}
	d := taken(now, a.alone(now, c, share, tokens), false, SourcePart)
	// The backoff of another host is over by then.
	d.RetryAfter = min(d.RetryAfter, keeperRest)
	return d
}

// answered decides by the reply of another host. It returns false if that host failed or doesn't decide.
func (l *Ledger) answered(c *route.Customer, q *question, rep Reply, err error) (Decision, bool) {
	if err != nil {
		l.opts.Failed(q.host, err)
	}
	now := l.opts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.Name)
	a.asking = max(0, a.asking-1)
	switch {
	case err != nil:
		l.resting[q.host.ID] = now.Add(keeperRest)
		return Decision{}, false
	case rep.Keeper.ID != "":
		return Decision{}, false
	case rep.Declined != "":
		l.resting[q.host.ID] = now.Add(declinedRest)
		return Decision{}, false
	}
	a.lend(now, q.host.ID)
	if rep.Granted > 0 {
		a.granted(now, rep.Granted)
		return Decision{Admitted: true, Source: q.from}, true
	}
	if !q.args.Again {
		a.refusal(now, rep.RetryAfter)
	}
	return Decision{Source: q.from, RetryAfter: rep.RetryAfter}, true
}

// Lend grants tokens to another host. If this host isn't the customer's keeper, it declines and refers to the keeper.
func (l *Ledger) Lend(args *Args, rep *Reply) error {
	now, v, c := l.opts.Clock.Now(), l.opts.View(), l.opts.Customer(args.Customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	l.fleet.hear(now, args)
	if rep.Declined = declines(v, c); rep.Declined != "" {
		return nil
	}
	if r := l.fleet.of(c.Name); !args.Deputy && r.keeper != v.Self && r.keeper != args.From && r.keeper != "" {
		rep.Declined, rep.Keeper = "another host keeps the customer's bucket", l.fleet.host(r.keeper)
		return nil
	}
	a := l.account(c.Name)
	b := l.pool(now, c, a, asker{id: args.From, serves: args.Serves, free: args.Free})
	for range min(args.Refused, mostLoan) {
		b.Refuse(now)
	}
	if rep.Granted = take(now, b, args.Again, min(args.Want, mostLoan)); rep.Granted == 0 {
		rep.RetryAfter = b.Refuse(now)
	}
	return nil
}

// declines returns the reason why this host can't decide for other hosts, or the empty string.
func declines(v View, c *route.Customer) string {
	switch {
	case !v.Settled:
		return "the host has just started"
	case v.Leaving:
		return "the host is leaving"
	case !c.Limited():
		return "the customer has no limit here"
	}
	return ""
}
