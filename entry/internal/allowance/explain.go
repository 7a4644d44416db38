package allowance

import (
	"maps"
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/core/routeplan"
	"guavaspring.org/entry/internal/bucket"
)

// Explain returns what this host knows of a customer's allowance, and what it would decide or whom it would ask. View v
// must be the one that Options.View returns. No token is taken, no other host is asked and nothing is recorded: all
// decisions are made on copies.
func (l *Limiter) Explain(c *route.Customer, v View, timeout time.Duration) *routeplan.Allowance {
	e := &routeplan.Allowance{Customer: c.Name, Limited: c.Limited(), PerSecond: c.PerSecond, Burst: c.Burst}
	if !e.Limited {
		e.New = routeplan.Decision{Admitted: true, Source: string(SourceUnlimited)}
		e.Returning = e.New
		return e
	}
	now := l.opts.Clock.Now()
	s := l.copy(c.Name, v)
	s.update(now, v)
	a, r := s.account(c.Name), s.fleet.rankingFor(c.Name)
	e.Kept, e.Keeper = r.keeper == v.Self && r.keeper != "", s.peerOf(r.keeper)
	for _, id := range r.deputies {
		e.Deputies = append(e.Deputies, s.peerOf(id))
	}
	e.KeeperBackoff = max(0, s.backoffUntil[r.keeper].Sub(now))
	e.RefusedFor = max(0, a.refusedUntil.Sub(now))
	if now.Before(a.prefetchExpires) {
		e.Advance = a.prefetched
	}
	e.Shares = int(s.fleet.shareCount())
	req := Request{Customer: c, Deadline: now.Add(timeout)}
	e.New = l.explainDecision(now, req, v)
	req.Again = true
	e.Returning = l.explainDecision(now, req, v)
	if e.New.Asks != "" || e.Returning.Asks != "" {
		d := toPlan(s.decideByOwnShare(now, v, c, a))
		e.Alone = &d
	}
	return e
}

// explainDecision returns the local decision on a request, or the host that would be asked.
func (l *Limiter) explainDecision(now time.Time, req Request, v View) routeplan.Decision {
	d, ask := l.copy(req.Customer.Name, v).decide(now, &req, referral{})
	if ask != nil {
		return routeplan.Decision{Asks: ask.host.Peer.String()}
	}
	return toPlan(d)
}

func toPlan(d Decision) routeplan.Decision {
	return routeplan.Decision{Admitted: d.Admitted, Source: string(d.Source), RetryAfter: max(0, d.RetryAfter)}
}

// peerOf returns the peer address of a keeper or deputy, or an empty string.
func (l *Limiter) peerOf(id string) string {
	if h := l.fleet.keeperHost(id); h.ID != "" {
		return h.Peer.String()
	}
	return ""
}

// copy returns a copy of the limiter with the account of one customer. Its decisions take nothing from the original.
func (l *Limiter) copy(customer string, v View) *Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	opts := l.opts
	opts.View, opts.StartEnded = func() View { return v }, func(StartEnd) {}
	c := &Limiter{opts: opts, fleet: l.fleet.copy(), start: l.start.copy(), accounts: map[string]*account{}, backoffUntil: maps.Clone(l.backoffUntil), prunedAt: l.prunedAt}
	if a := l.accounts[customer]; a != nil {
		c.accounts[customer] = a.copy()
	}
	return c
}

// copy copies the maps, which updates change in place; slices are replaced as a whole.
func (f *fleet) copy() fleet {
	c := *f
	c.ranked, c.firstSeen, c.lastSeen = maps.Clone(f.ranked), maps.Clone(f.firstSeen), maps.Clone(f.lastSeen)
	return c
}

// copy copies the maps, which updates change in place; slices are replaced as a whole.
func (s *startPhase) copy() startPhase {
	c := *s
	c.reached, c.announced, c.absent = maps.Clone(s.reached), maps.Clone(s.announced), maps.Clone(s.absent)
	c.joined, c.ranked, c.fractions = maps.Clone(s.joined), maps.Clone(s.ranked), maps.Clone(s.fractions)
	return c
}

func (a *account) copy() *account {
	c := *a
	c.pool, c.startPool, c.ownBucket.bucket = copyBucket(a.pool), copyBucket(a.startPool), copyBucket(a.ownBucket.bucket)
	c.contributors = contributors{}
	for id, h := range a.contributors {
		one := *h
		c.contributors[id] = &one
	}
	return &c
}

func copyBucket(b *bucket.Bucket) *bucket.Bucket {
	if b == nil {
		return nil
	}
	c := *b
	return &c
}
