package endpoints

import (
	"cmp"
	"slices"
	"time"

	"guavaspring.org/core/platform"
	"guavaspring.org/core/routeplan"
	"guavaspring.org/entry/internal/balance"
	"guavaspring.org/entry/internal/inflight"
	"guavaspring.org/entry/internal/pick"
)

// draws is the number of choices from which Explain takes the share of each replica: enough to distinguish a replica
// that is nearly always chosen from one of two or three alike, and few enough for a query over 90 shards of 45 replicas.
const draws = 32

// candidate is a replica with the data behind its explanation.
type candidate struct {
	replica *Replica
	seen    pick.Replica
	// like is the input of a balanced choice, zero while the load is not balanced.
	like balance.Candidate
	// verdict is the outcome of a choice among this replica alone.
	verdict              Verdict
	backingOff, inSubset bool
	picked               int
	out                  routeplan.Candidate
}

// Explain explains the choice of a replica for a request, where budgetShare is this host's share of the budget for extra
// attempts. It must be called on a copy of a service, see Table.Copy, since choices record what they see.
//
// Whether a replica takes the request is the verdict of the choice among that replica alone, so that the explanation
// can't differ from the choice; only the name of the reason is derived here.
func (s *Service) Explain(now time.Time, need Need, budgetShare float64, draw func() float64) routeplan.Service {
	list := slices.Clone(s.Replicas())
	slices.SortFunc(list, func(a, b *Replica) int { return cmp.Compare(a.ID(), b.ID()) })
	own := s.hostSubset(s.Replicas())
	zoneHosts, balances := s.balances()
	var like *candidates
	if balances {
		like = &candidates{zoneHosts: zoneHosts}
	}
	need.Queues = s.mayQueue(now)
	all := make([]*candidate, len(list))
	for i, r := range list {
		all[i] = s.candidate(now, r, need, like)
		all[i].inSubset = slices.Contains(own, r)
	}
	verdict, chosen := s.drawChoices(now, need, draw, all)
	e := routeplan.Service{
		Name: s.Name, Verdict: verdict, Waiting: s.Waiting(), Wait: s.ExpectedWait(now, 0), Utilization: s.utilization(now), Balanced: balances,
	}
	retries, hedges := s.Budget.Copy(), s.Budget.Copy()
	e.Retries = left(func() bool { return retries.Retry(now, budgetShare) })
	e.Hedges = left(func() bool { return hedges.Hedge(now, budgetShare) })
	if chosen != nil {
		e.Balanced = balances && !dropTurns(chosen, all)
		e.Chosen, e.Rule = chosen.out.ID, rule(chosen, all)
	}
	for _, c := range all {
		if c != chosen {
			c.out.Reason = c.reason(now, s, &need, chosen)
		}
		e.Candidates = append(e.Candidates, c.out)
	}
	return e
}

// left returns how often take succeeds, up to routeplan.MaxBudget.
func left(take func() bool) int {
	n := 0
	for n < routeplan.MaxBudget && take() {
		n++
	}
	return n
}

// candidate returns the state of a replica and the verdict on it alone.
func (s *Service) candidate(now time.Time, r *Replica, need Need, like *candidates) *candidate {
	c := &candidate{replica: r}
	var seen pick.Replica
	seen, c.backingOff, _ = r.view(now)
	like.suspect(&seen)
	c.seen = seen
	_, c.verdict = s.pick(now, []*Replica{r}, need, func() float64 { return 0 })
	c.out = routeplan.Candidate{
		ID: r.row.ID, Zone: r.row.Zone, Estimate: pick.Estimate(seen, need.Usual, 0), Slowness: seen.Slowness, Failures: seen.Failures,
		Measured: r.lastRequest > uint64(len(r.running)), Running: seen.Running, Limit: inflight.Limit(seen.Slots, s.share(), s.utilization(now)), Oldest: seen.Oldest, Cold: seen.Cold, Turn: seen.Turn,
	}
	if like != nil {
		c.like = balance.Candidate{Estimate: c.out.Estimate, Preferred: need.Prefers(seen, c.out.Estimate), Turn: seen.Turn}
	}
	if c.out.Measured {
		c.out.Age = now.Sub(r.estimatedAt)
	}
	if c.backingOff {
		c.out.Backoff = r.backoffUntil.Sub(now)
	}
	return c
}

// dropTurns reports whether the choice goes by reported load in place of turns, and removes the turns then.
func dropTurns(chosen *candidate, all []*candidate) bool {
	if !slices.ContainsFunc(all, func(c *candidate) bool { return c.competes(chosen) && c.seen.Reports }) {
		return false
	}
	for _, c := range all {
		c.like = balance.Candidate{}
	}
	return true
}

// laterTurn reports whether a replica is as good as the chosen one, whose turn comes first.
func (c *candidate) laterTurn(chosen *candidate) bool {
	return c.like.Alike(chosen.like) && c.like.Turn > chosen.like.Turn
}

// drawChoices repeats the choice and returns the most frequent verdict, and the replica that was chosen most often if
// the verdict is to send.
func (s *Service) drawChoices(now time.Time, need Need, draw func() float64, candidates []*candidate) (routeplan.Verdict, *candidate) {
	found, busy := 0, 0
	for range draws {
		choice, verdict := s.Pick(now, need, draw)
		switch verdict {
		case Found:
			found++
			i := slices.IndexFunc(candidates, func(c *candidate) bool { return c.replica == choice.Replica })
			candidates[i].picked++
		case Busy:
			busy++
		}
	}
	var chosen *candidate
	for _, c := range candidates {
		c.out.Share = float64(c.picked) / draws
		if c.picked > 0 && (chosen == nil || c.picked > chosen.picked) {
			chosen = c
		}
	}
	switch {
	case found >= busy && found > 0:
		return routeplan.Sent, chosen
	case busy > 0:
		return routeplan.Waits, nil
	}
	return routeplan.None, nil
}

// competes reports whether a replica could have been chosen in place of the chosen one.
func (c *candidate) competes(chosen *candidate) bool {
	return c.verdict == Found && !c.backingOff && (c.inSubset || !chosen.inSubset)
}

// rule returns the rule by which a replica was chosen.
func rule(chosen *candidate, candidates []*candidate) routeplan.Rule {
	others, lowest, turn := 0, true, false
	for _, c := range candidates {
		if c == chosen || !c.competes(chosen) {
			continue
		}
		others++
		turn = turn || c.laterTurn(chosen)
		lowest = lowest && chosen.out.Estimate <= c.out.Estimate
	}
	switch {
	case chosen.backingOff:
		return routeplan.RuleBackoff
	case !chosen.inSubset:
		return routeplan.RuleWidened
	case others == 0:
		return routeplan.RuleOnly
	case turn:
		return routeplan.RuleTurn
	case lowest:
		return routeplan.RuleLowest
	case chosen.seen.Near:
		return routeplan.RuleNear
	}
	return routeplan.RuleDrawn
}

// reason returns the reason for which a replica is passed over; chosen is nil if none is chosen.
func (c *candidate) reason(now time.Time, s *Service, need *Need, chosen *candidate) routeplan.Reason {
	switch {
	case c.verdict == None:
		return c.unusableReason(now, need)
	case c.verdict == Busy:
		return c.busyReason(now, s)
	case c.picked > 0 && chosen != nil:
		return routeplan.DrawnLess
	case c.backingOff:
		return routeplan.InBackoff
	case chosen == nil:
		return routeplan.TooSlow
	case !c.competes(chosen):
		return routeplan.OutsideSubset
	case c.laterTurn(chosen):
		return routeplan.LaterTurn
	case c.out.Estimate < chosen.out.Estimate && need.Before(chosen.seen, chosen.out.Estimate, c.seen, c.out.Estimate):
		return routeplan.OtherZone
	}
	return routeplan.Slower
}

// unusableReason returns the reason for which a replica may not be used at all.
func (c *candidate) unusableReason(now time.Time, need *Need) routeplan.Reason {
	r := c.replica
	switch {
	case need.excludes(r):
		return routeplan.OutsideHomes
	case r.evacuated(r.row.Zone):
		return routeplan.Evacuated
	case r.row.State == platform.StateLeaving:
		return routeplan.Draining
	case !r.removeAt.IsZero() && !now.Before(r.removeAt):
		return routeplan.Gone
	}
	return routeplan.AddressTaken
}

// busyReason returns the reason for which a replica takes no request now.
func (c *candidate) busyReason(now time.Time, s *Service) routeplan.Reason {
	switch {
	case c.out.Running >= c.out.Limit:
		return routeplan.LimitReached
	case !c.replica.pool.HasFreeConn(s.Connections()):
		return routeplan.NoConnection
	case c.seen.Cold && !c.replica.coldHasRoom(now):
		return routeplan.ColdLimit
	}
	return routeplan.Full
}
