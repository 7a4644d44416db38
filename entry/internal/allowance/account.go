package allowance

import (
	"math"
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/bucket"
)

const (
	// loanFor is the lifetime of the tokens that a keeper grants in advance of the requests that use them.
	loanFor = 200 * time.Millisecond
	// refusedFor is how long a keeper's refusal also applies to later requests of the customer.
	refusedFor = 50 * time.Millisecond
	// demandOver is the time constant of the moving average of a customer's request rate.
	demandOver = time.Second
	// advanceAgain is the least time between two advances of tokens to a bucket.
	advanceAgain = 10 * time.Second
	// unsurePart is the fraction of the unclaimed shares that a deputy or a new keeper grants from. Most of them are
	// unused because the previous keeper is gone; if it is only partitioned, few hosts still reach it.
	unsurePart = 0.35
	// mostLoan is the maximum number of tokens in one grant.
	mostLoan = 1 << 16
)

// account is one host's state of one customer's limit.
type account struct {
	// pool is the bucket that this host holds as the customer's keeper or deputy, last updated at pooledAt. parts are the
	// hosts whose shares of the limit may be in it.
	pool     *bucket.Bucket
	pooledAt time.Time
	parts    partners
	// keeperSince is when this host became the customer's keeper, or zero if it isn't the keeper.
	keeperSince time.Time
	// advancedAt is when the pool last received an advance of tokens.
	advancedAt time.Time
	// own is the bucket of this host's own share, used while it can reach neither the keeper nor a deputy.
	own reserve
	// lender is the ID of the host that uses this host's share until lentUntil.
	lender    string
	lentUntil time.Time
	// loan is the number of unused tokens granted in advance. They expire at loanEnd.
	loan    int
	loanEnd time.Time
	// refusedUntil is when the last refusal by another host expires, comeBack is when the refused clients should retry,
	// and refused counts the requests that were refused locally since the last report.
	refusedUntil, comeBack time.Time
	refused                int
	// asking is the number of requests that wait for a reply of another host.
	asking int
	// demand is the average request rate per second as of demandAt.
	demand   float64
	demandAt time.Time
}

// count adds a request to the average request rate.
func (a *account) count(now time.Time) {
	if !a.demandAt.IsZero() {
		a.demand *= math.Exp(-now.Sub(a.demandAt).Seconds() / demandOver.Seconds())
	}
	a.demand += 1 / demandOver.Seconds()
	a.demandAt = now
}

// want returns the number of tokens to ask for: enough for the requests expected within the lifetime of a grant, or one
// if another request in flight already asks for those.
func (a *account) want() int {
	if a.asking > 0 {
		return 1
	}
	return min(mostLoan, max(1, int(a.demand*loanFor.Seconds())))
}

// borrow takes one of the tokens granted in advance and reports whether there was one.
func (a *account) borrow(now time.Time) bool {
	if a.loan == 0 || !now.Before(a.loanEnd) {
		return false
	}
	a.loan--
	return true
}

// free returns the time until a host with the given ID may use this host's share, zero if it already does.
func (a *account) free(now time.Time, lender string) time.Duration {
	if a.lender == lender {
		return 0
	}
	return max(0, a.lentUntil.Sub(now))
}

// lend records that another host uses this host's share from now on, and stops this host's own bucket.
func (a *account) lend(now time.Time, lender string) {
	a.lender, a.lentUntil = lender, now.Add(partFor)
	a.own.pause(now)
}

// granted stores the tokens that are left of a grant after the request that asked for it.
func (a *account) granted(now time.Time, tokens int) {
	if !now.Before(a.loanEnd) {
		a.loan = 0
	}
	a.loan += tokens - 1
	a.loanEnd = now.Add(loanFor)
}

// refusal stores the refusal of another host.
func (a *account) refusal(now time.Time, after time.Duration) {
	a.refusedUntil = now.Add(min(after, refusedFor))
	a.comeBack = now.Add(after)
}

// unreported returns the number of locally refused requests since the last report and resets it.
func (a *account) unreported() int {
	n := a.refused
	a.refused = 0
	return n
}

// keep updates the pool of this host as the customer's keeper. The pool holds the shares of all serving hosts except those
// that seem to be in use elsewhere.
func (a *account) keep(now time.Time, c *route.Customer, f *fleet, slack float64) *bucket.Bucket {
	if now.Sub(a.keeperSince) <= provenFor {
		return a.stand(now, c, f, slack)
	}
	share := f.share(a.parts.brought(now) + a.parts.idle(now, f.proven))
	rate, depth := c.PerSecond*share, c.Burst*f.share(len(f.serving))+spare*slack
	if a.pool == nil {
		a.pool = bucket.New(now, rate, depth, spare*slack+rate*(now.Sub(a.keeperSince)-provenFor).Seconds())
	}
	a.pool.Set(now, rate, depth)
	a.pooledAt = now
	return a.pool
}

// stand updates the pool of this host as the customer's deputy or its new keeper. The pool holds the shares of the hosts
// that asked this one, as the other shares may be in use at another keeper, plus as much of the others as keeps the
// customer within the tolerated excess until all hosts agree on its keeper.
func (a *account) stand(now time.Time, c *route.Customer, f *fleet, slack float64) *bucket.Bucket {
	if a.pool == nil {
		a.pool = bucket.New(now, 0, 0, 0)
	}
	if now.Sub(a.pooledAt) > partFor {
		a.pool.Resume(now)
	}
	rate := c.PerSecond * f.share(a.parts.brought(now))
	unsure := min(c.PerSecond-rate, c.PerSecond*f.share(a.parts.idle(now, f.proven)))
	rate += max(min(unsure, bridge*slack/provenFor.Seconds()), unsurePart*unsure)
	a.pool.Set(now, rate, c.Burst*f.share(len(f.serving))+spare*slack)
	a.pooledAt = now
	if slack > 0 && (a.advancedAt.IsZero() || now.Sub(a.advancedAt) > advanceAgain) {
		a.pool.Add(spare * slack)
		a.advancedAt = now
	}
	return a.pool
}

// assign sets whether this host is the customer's keeper.
func (a *account) assign(now time.Time, keeper bool) {
	switch {
	case !keeper && !a.keeperSince.IsZero():
		a.keeperSince = time.Time{}
		if a.pool != nil {
			// From now on another host grants the tokens of this rate.
			a.pool.Set(now, 0, math.Inf(1))
		}
	case keeper && a.keeperSince.IsZero():
		a.keeperSince = now
	}
}

// alone updates the bucket of this host's own share. Its rate is zero while another host uses that share.
func (a *account) alone(now time.Time, c *route.Customer, share, advance float64) *bucket.Bucket {
	if now.Before(a.lentUntil) {
		share = 0
	}
	return a.own.at(now, c.PerSecond*share, max(1, c.Burst*share), advance)
}
