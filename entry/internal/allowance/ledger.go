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
	// askFor bounds the wait for a keeper, which is in the same region.
	askFor = 60 * time.Millisecond
	// askPart is the part of the time that a request has left which the wait for a keeper may take.
	askPart = 0.25
	// keeperRest is how long a keeper that did not answer is not asked again, and declinedRest one that declined.
	keeperRest, declinedRest = time.Second, 200 * time.Millisecond
	// spare, bridge and advance are the parts of what may run over a limit that a bucket holds beyond the burst, that a
	// deputy or a new keeper gives out in place of parts that may be with another one, and that hosts without either
	// may use in advance. The rest is for requests that were let in before others knew it.
	spare, bridge, advance = 0.2, 0.3, 0.3
	// faster is the part of what may run over a limit for each request within it by which tokens come faster than the
	// limit says: the hosts' clocks and ways differ, and a customer just within its limit is to be refused nothing.
	faster = 0.4
	// youngFor is how long after it has met the others a host gives out youngPart of a limit and of what may run over
	// it: where all start at once each may know half of the others, and takes the parts for twice what they are.
	youngFor, youngPart = 2 * time.Second, 0.5
	// mostAsks is how many hosts are asked for one request: the keeper that this host knows, the one that that host
	// knows, and a deputy.
	mostAsks = 3
	// forgetEvery is how often accounts are dropped whose customers are gone from the configuration.
	forgetEvery = 10 * time.Second
)

// Options configures a Ledger.
type Options struct {
	Clock clock.Clock
	// View returns what the host knows of the others.
	View func() View
	// Customer returns the customer with a name in the configuration in force, or nil.
	Customer func(name string) *route.Customer
	// Ask asks another host for tokens.
	Ask func(ctx context.Context, keeper member.Host, args Args) (Reply, error)
	// Failed is called with a keeper that did not answer; it may be nil.
	Failed func(keeper member.Host, err error)
	// Slack is how many requests of a customer over its limit may run in a window, on all hosts together.
	Slack int
	// Excess is the share of a limit that may run over it besides.
	Excess float64
}

// Ledger holds one host's accounts of all customers.
//
// It answers customers whose requests come to any host while their limit holds for all hosts together. A limit is cut
// into equal parts, one for each host that clients are sent to. The hosts that see each other put their parts together
// in one bucket, kept by the one of them that ranks first for the customer, which grants each request where it comes.
// Hosts that don't reach that one bring their parts to those that rank next, and a host that reaches none of them has
// its own part left. Who has brought its part does not use it elsewhere for a while, and who was brought it does not
// use it for longer. What may run over a limit covers the moments in which a keeper counts parts of hosts that have
// nothing to ask for.
//
// With fixed parts alone, a customer of one request a second whose clients come to some of fifty hosts finds none that
// has a whole token for it.
type Ledger struct {
	opts Options

	mu       sync.Mutex
	fleet    fleet
	accounts map[string]*account
	// resting holds the keepers that are not asked, until when.
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

// Take decides about one request.
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

// referral is what a host said that was asked and doesn't decide.
type referral struct {
	by string
	to member.Host
}

// Look takes note of the hosts that serve, so that it is known how long each has served when a request comes.
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

// question is what another host is asked.
type question struct {
	host member.Host
	args Args
	// from is what its answer counts as.
	from Source
}

// count notes a request of a customer.
func (l *Ledger) count(c *route.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(c.Name).count(l.opts.Clock.Now())
}

// decide decides by what this host and one that has referred it to another know, or returns what to ask.
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
		// The one that it has named doesn't answer.
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

// reachable reports whether another host with an id can be asked.
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

// take takes tokens of a bucket.
//
// It answers a customer far over its limit, whose refused clients come back. Served in the order in which they came
// first, all of them would be late; so one that comes back is served from what those that come first leave over.
func take(now time.Time, b *bucket.Bucket, again bool, want int) int {
	if again {
		return b.TakeSpare(now, 1)
	}
	return b.Take(now, want)
}

// taken takes a token of a bucket for one request.
func taken(now time.Time, b *bucket.Bucket, again bool, from Source) Decision {
	if take(now, b, again, 1) == 1 {
		return Decision{Admitted: true, Source: from}
	}
	return Decision{Source: from, RetryAfter: b.Refuse(now)}
}

// update takes over a view of the hosts, and drops what is not needed any more.
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

// asker is a host that asks for tokens; its part, where clients are sent to it, is free in a while.
type asker struct {
	id     string
	serves bool
	free   time.Duration
}

// self returns this host as one that asks itself.
func (l *Ledger) self(now time.Time, a *account) asker {
	return asker{id: l.fleet.self, serves: l.fleet.serves(), free: a.free(now, l.fleet.self)}
}

// pool returns the bucket that this host keeps for hosts that ask it, one of which asks now. A host that is asked though
// it is neither the keeper nor the first in its place has the parts that are brought to it and no more.
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

// generous returns a customer's limit with what its bucket gives beyond it.
func (l *Ledger) generous(c *route.Customer) *route.Customer {
	more := *c
	more.PerSecond *= 1 + faster*l.opts.Excess
	return &more
}

// own decides by this host's own part of the limit, after nobody could be asked.
func (l *Ledger) own(c *route.Customer) Decision {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	return l.alone(now, v, c, l.account(c.Name))
}

// alone decides by this host's own part of the limit. A host that has just started doesn't know how large its part is,
// and may use a token in advance once it knows others, and that few of them come before it.
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
	// Somebody can be asked again by then.
	d.RetryAfter = min(d.RetryAfter, keeperRest)
	return d
}

// answered decides by the reply of a host that was asked; it reports false where that host doesn't decide.
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

// Lend grants tokens to another host, or declines where this host doesn't decide about the customer, and says who does.
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

// declines returns why a host with a view doesn't decide about a customer for another one, or nothing.
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
