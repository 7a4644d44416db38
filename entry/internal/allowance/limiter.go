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
	// askTimeout is the timeout of a request to a keeper, which is in the same region.
	askTimeout = 60 * time.Millisecond
	// askDeadlineFraction is the fraction of a request's remaining time that the wait for a keeper may take.
	askDeadlineFraction = 0.25
	// failureBackoff is the backoff after a host failed to reply, and declineBackoff the backoff after it declined.
	failureBackoff, declineBackoff = time.Second, 200 * time.Millisecond
	// These are fractions of Options.Slack: spareFraction is what a bucket holds beyond the burst, bridgeFraction is
	// what a deputy or a new keeper grants in place of shares that may be in use elsewhere, and advanceFraction is what
	// hosts that reach neither keeper nor deputy may use in advance. The rest covers requests that were admitted before
	// they were reported to other hosts.
	spareFraction, bridgeFraction, advanceFraction = 0.2, 0.3, 0.3
	// refillFraction is the fraction of Options.Excess by which buckets are refilled faster than the limit. Clocks and
	// latencies differ between hosts, and a customer just within its limit must not be refused.
	refillFraction = 0.4
	// settlingPeriod is how long a host that has just discovered the others grants only settlingFraction of a limit and
	// of its slack. If all hosts start at once, each may know only half of the others and compute shares twice too
	// large.
	settlingPeriod, settlingFraction = 2 * time.Second, 0.5
	// maxAsks is the maximum number of hosts asked for one request: the keeper in this host's view, the keeper that it
	// refers to, and a deputy.
	maxAsks = 3
	// pruneInterval is the interval at which the accounts of customers that left the configuration are dropped.
	pruneInterval = 10 * time.Second
)

// Options configures a Limiter.
type Options struct {
	Clock clock.Clock
	// View returns the host's current view of the member list.
	View func() View
	// Customer returns the customer with the given name in the configuration in force, or nil.
	Customer func(name string) *route.Customer
	// Ask requests tokens from another host.
	Ask func(ctx context.Context, keeper member.Host, args Args) (Reply, error)
	// Join announces this host to one that was listed before a mass start. With nil, listed hosts are not used.
	Join func(ctx context.Context, keeper member.Host, args JoinArgs) (JoinReply, error)
	// StartEnded is called at the end of the start phase. It may be nil, and must not call the limiter.
	StartEnded func(StartEnd)
	// Failed is called with a keeper that did not reply. It may be nil.
	Failed func(keeper member.Host, err error)
	// Slack is the number of requests over a customer's limit that may run in a window on all hosts together.
	Slack int
	// Excess is the fraction of a limit that may run over it in addition to Slack.
	Excess float64
}

// Limiter enforces the limits of all customers on one host.
//
// Requests of a customer may arrive at any host, while the limit applies to all hosts together. A limit is divided into
// equal shares, one per serving host. Hosts that reach each other pool their shares in one token bucket, held by the
// customer's keeper, which is the host that ranks first for the customer. Every host asks the keeper for tokens. Hosts
// that can't reach the keeper pool their shares at its deputies, which rank next, and a host that reaches none of them
// uses only its own share. A host doesn't use its share for shareHoldTime after it asked for tokens, and the host that
// it asked doesn't use that share for longer than that. Options.Slack and Options.Excess cover the moments in which a
// keeper counts the shares of hosts that don't ask for tokens.
//
// Fixed shares alone fail small customers: with a limit of one request a second and clients spread over fifty hosts, no
// host has a whole token.
type Limiter struct {
	opts Options

	mu       sync.Mutex
	fleet    fleet
	start    startPhase
	accounts map[string]*account
	// backoffUntil holds the end of the backoff of each host that failed or declined, by ID.
	backoffUntil map[string]time.Time
	prunedAt     time.Time
}

// New returns a limiter without accounts.
func New(opts Options) *Limiter {
	if opts.Failed == nil {
		opts.Failed = func(member.Host, error) {}
	}
	if opts.StartEnded == nil {
		opts.StartEnded = func(StartEnd) {}
	}
	return &Limiter{opts: opts, fleet: newFleet(), accounts: map[string]*account{}, backoffUntil: map[string]time.Time{}}
}

// Take decides whether one request is within its customer's limit.
func (l *Limiter) Take(ctx context.Context, req Request) Decision {
	c := req.Customer
	if !c.Limited() {
		return Decision{Admitted: true, Source: SourceUnlimited}
	}
	l.recordRequest(c)
	var from referral
	for range maxAsks {
		now := l.opts.Clock.Now()
		d, ask := l.decide(now, &req, from)
		if ask == nil {
			return d
		}
		rep, err := l.ask(ctx, ask, req.Deadline.Sub(now))
		if d, ok := l.handleReply(c, ask, rep, err); ok {
			return d
		}
		if rep.Keeper.ID != "" {
			from = referral{by: ask.host.ID, to: rep.Keeper}
		}
	}
	return l.decideUnreachable(c)
}

// referral names the keeper that a host referred to in place of a decision.
type referral struct {
	by string
	to member.Host
}

// ObserveHosts records the serving hosts. Called regularly, it keeps the times since which each has served accurate.
func (l *Limiter) ObserveHosts() {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
}

func (l *Limiter) ask(ctx context.Context, q *tokenRequest, left time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(askTimeout, time.Duration(askDeadlineFraction*float64(left))))
	defer cancel()
	return l.opts.Ask(ctx, q.host, q.args)
}

// tokenRequest is a request for tokens to another host.
type tokenRequest struct {
	host member.Host
	args Args
	// source is the source of a decision by the reply.
	source Source
}

// recordRequest adds a request to the customer's average request rate.
func (l *Limiter) recordRequest(c *route.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(c.Name).recordRequest(l.opts.Clock.Now())
}

// decide decides from local state, or returns the request to send to another host.
func (l *Limiter) decide(now time.Time, req *Request, from referral) (Decision, *tokenRequest) {
	c, v := req.Customer, l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	a := l.account(c.Name)
	if l.start.active() {
		if d, ask, ok := l.decideInStart(now, v, req, a); ok {
			return d, ask
		}
	}
	r := l.fleet.rankingFor(c.Name)
	switch {
	case r.keeper == v.Self && v.Settled:
		return decideFromBucket(now, l.updatePool(now, c, a, l.localRequester(now, a)), req.Again, SourceLocalKeeper), nil
	case !req.Again && a.takePrefetched(now):
		return Decision{Admitted: true, Source: SourcePrefetched}, nil
	case now.Before(a.refusedUntil):
		a.refused++
		return Decision{Source: SourceRefused, RetryAfter: a.retryAt.Sub(now)}, nil
	case l.reachable(now, v, from.to.ID):
		return Decision{}, l.newTokenRequest(now, v, req, a, from.to)
	case l.reachable(now, v, r.keeper):
		q := l.newTokenRequest(now, v, req, a, l.fleet.keeperHost(r.keeper))
		// The host that the keeper referred to doesn't reply.
		q.args.Deputy = from.by == r.keeper
		return Decision{}, q
	case r.isFirstDeputy(v.Self) && v.Settled:
		return decideFromBucket(now, l.updatePool(now, c, a, l.localRequester(now, a)), req.Again, SourceDeputy), nil
	}
	for _, id := range r.deputies {
		if l.reachable(now, v, id) {
			q := l.newTokenRequest(now, v, req, a, l.fleet.keeperHost(id))
			q.source, q.args.Deputy = SourceDeputy, true
			return Decision{}, q
		}
	}
	return l.decideByOwnShare(now, v, c, a), nil
}

// reachable reports whether the given ID is that of another host that is not in backoff.
func (l *Limiter) reachable(now time.Time, v View, id string) bool {
	return id != "" && id != v.Self && !now.Before(l.backoffUntil[id])
}

func (l *Limiter) newTokenRequest(now time.Time, v View, req *Request, a *account, host member.Host) *tokenRequest {
	q := &tokenRequest{host: host, source: SourceKeeper, args: Args{
		Customer: req.Customer.Name, From: v.Self, Again: req.Again, Want: a.want(), Refused: a.takeUnreported(),
		Serves: l.fleet.selfServes(), Free: a.shareFreeIn(now, host.ID),
		Parts: l.fleet.seenShares(), Old: !l.fleet.recentlySettled(now),
	}}
	a.inFlight++
	return q
}

// takeTokens takes up to want tokens from a bucket.
//
// Retries of refused clients get tokens only while the bucket is more than half full. If the refused requests of a
// customer far over its limit were served before new ones, all of its responses would be late.
func takeTokens(now time.Time, b *bucket.Bucket, again bool, want int) int {
	if again {
		return b.TakeSpare(now, 1)
	}
	return b.Take(now, want)
}

// decideFromBucket decides one request by taking a token from a bucket.
func decideFromBucket(now time.Time, b *bucket.Bucket, again bool, source Source) Decision {
	if takeTokens(now, b, again, 1) == 1 {
		return Decision{Admitted: true, Source: source}
	}
	return Decision{Source: source, RetryAfter: b.Refuse(now)}
}

// update applies a view of the member list and drops expired state.
func (l *Limiter) update(now time.Time, v View) {
	if l.opts.Join != nil && l.start.update(now, v) {
		l.endStart(now)
	}
	if l.start.began() {
		v.Parts = min(v.Parts, l.start.partsLeft())
	}
	if l.fleet.update(now, v, l.start.active()) {
		for name, a := range l.accounts {
			a.setKeeper(now, l.fleet.isKeeper(name))
		}
	}
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	for name := range l.accounts {
		if l.opts.Customer(name) == nil {
			delete(l.accounts, name)
		}
	}
	for id, until := range l.backoffUntil {
		if !now.Before(until) {
			delete(l.backoffUntil, id)
		}
	}
}

func (l *Limiter) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{contributors: contributors{}}
		a.setKeeper(l.fleet.keepersSince, l.fleet.isKeeper(name))
		l.accounts[name] = a
	}
	return a
}

// requester is a host that asks for tokens. If it serves, its share may be used after the duration free.
type requester struct {
	id     string
	serves bool
	free   time.Duration
}

// localRequester returns the requester for requests that arrive at this host.
func (l *Limiter) localRequester(now time.Time, a *account) requester {
	return requester{id: l.fleet.self, serves: l.fleet.selfServes(), free: a.shareFreeIn(now, l.fleet.self)}
}

// updatePool records a request for tokens and returns the updated pool. On a host that is neither the keeper nor the
// first deputy, the pool gets no slack.
func (l *Limiter) updatePool(now time.Time, c *route.Customer, a *account, req requester) *bucket.Bucket {
	if req.serves {
		a.contributors.recordRequest(now, req.id, req.free)
	}
	slack := float64(l.opts.Slack) * l.fleet.reachedFraction()
	c = l.withExcess(c)
	if l.fleet.recentlySettled(now) {
		slack *= settlingFraction
		c.PerSecond *= settlingFraction
	}
	switch r := l.fleet.rankingFor(c.Name); {
	case r.keeper == l.fleet.self:
		return a.updateKeeperPool(now, c, &l.fleet, slack)
	case r.isFirstDeputy(l.fleet.self):
		return a.updateDeputyPool(now, c, &l.fleet, slack)
	}
	return a.updateDeputyPool(now, c, &l.fleet, 0)
}

// withExcess returns a copy of the customer with the rate at which its buckets are refilled.
func (l *Limiter) withExcess(c *route.Customer) *route.Customer {
	more := *c
	more.PerSecond *= 1 + refillFraction*l.opts.Excess
	return &more
}

// decideUnreachable decides by this host's own share of the limit, once no other host could decide.
func (l *Limiter) decideUnreachable(c *route.Customer) Decision {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	return l.decideByOwnShare(now, v, c, l.account(c.Name))
}

// decideByOwnShare decides by this host's own share of the limit. A host that has just started can't compute its share
// yet. It may use one token in advance once it has discovered other hosts and only a few of them rank before it.
func (l *Limiter) decideByOwnShare(now time.Time, v View, c *route.Customer, a *account) Decision {
	share, tokens := 0.0, 0.0
	place := l.fleet.rankingFor(c.Name).rank
	serves := l.fleet.selfServes()
	if serves && v.Settled {
		share = 1 / l.fleet.shareCount()
	}
	if serves && (v.Settled || len(l.fleet.serving) > 1) && float64(place) < advanceFraction*float64(l.opts.Slack) {
		tokens = 1
	}
	d := decideFromBucket(now, a.updateOwnBucket(now, c, share, tokens), false, SourceOwnShare)
	// The backoff of another host is over by then.
	d.RetryAfter = min(d.RetryAfter, failureBackoff)
	return d
}

// handleReply decides by the reply of another host. It returns false if that host failed or doesn't decide.
func (l *Limiter) handleReply(c *route.Customer, q *tokenRequest, rep Reply, err error) (Decision, bool) {
	if err != nil {
		l.opts.Failed(q.host, err)
	}
	now := l.opts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.Name)
	a.inFlight = max(0, a.inFlight-1)
	if q.args.Start {
		return l.handleStartReply(now, a, q, rep, err)
	}
	switch {
	case err != nil:
		l.backoffUntil[q.host.ID] = now.Add(failureBackoff)
		return Decision{}, false
	case rep.Keeper.ID != "":
		return Decision{}, false
	case rep.Declined != "":
		l.backoffUntil[q.host.ID] = now.Add(declineBackoff)
		return Decision{}, false
	}
	a.giveShare(now, q.host.ID)
	return applyGrant(now, a, q, rep), true
}

// applyGrant applies the decision of another host.
func applyGrant(now time.Time, a *account, q *tokenRequest, rep Reply) Decision {
	rep.RetryAfter = min(max(rep.RetryAfter, 0), maxRetryAfter)
	if rep.Granted > 0 {
		a.storeGrant(now, min(rep.Granted, maxGrantTokens))
		return Decision{Admitted: true, Source: q.source}
	}
	if !q.args.Again {
		a.cacheRefusal(now, rep.RetryAfter)
	}
	return Decision{Source: q.source, RetryAfter: rep.RetryAfter}
}

// Lend grants tokens to another host. If this host isn't the customer's keeper, it declines and refers to the keeper.
func (l *Limiter) Lend(args *Args, rep *Reply) error {
	now, v, c := l.opts.Clock.Now(), l.opts.View(), l.opts.Customer(args.Customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	if args.Start && l.lendInStart(now, v, c, args, rep) {
		return nil
	}
	l.fleet.applyReport(now, args)
	if rep.Declined = declineReason(v, c); rep.Declined != "" {
		return nil
	}
	if r := l.fleet.rankingFor(c.Name); !args.Deputy && r.keeper != v.Self && r.keeper != args.From && r.keeper != "" {
		rep.Declined, rep.Keeper = "another host keeps the customer's bucket", l.fleet.keeperHost(r.keeper)
		return nil
	}
	a := l.account(c.Name)
	grant(now, l.updatePool(now, c, a, requester{id: args.From, serves: args.Serves, free: args.Free}), args, rep)
	return nil
}

// grant grants tokens of a bucket to another host.
func grant(now time.Time, b *bucket.Bucket, args *Args, rep *Reply) {
	for range min(args.Refused, maxGrantTokens) {
		b.Refuse(now)
	}
	if rep.Granted = takeTokens(now, b, args.Again, min(max(args.Want, 0), maxGrantTokens)); rep.Granted == 0 {
		rep.RetryAfter = b.Refuse(now)
	}
}

// declineReason returns the reason why this host can't decide for other hosts, or the empty string.
func declineReason(v View, c *route.Customer) string {
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
