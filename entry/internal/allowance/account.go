package allowance

import (
	"math"
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/bucket"
)

const (
	// loanFor is how long what a keeper granted beyond one request is good for.
	loanFor = 200 * time.Millisecond
	// refusedFor is how long the keeper's refusal is taken as its answer to the requests that follow.
	refusedFor = 50 * time.Millisecond
	// demandOver is over how long the requests of a customer are averaged.
	demandOver = time.Second
	// advanceAgain is how long a bucket gets no more tokens in advance after it got some.
	advanceAgain = 10 * time.Second
	// unsurePart is the part of what a deputy or a new keeper gives out of the parts that nobody brought to it. Most of
	// them are unused, as the keeper before it is gone; where it is only cut off, few hosts reach it.
	unsurePart = 0.35
	// mostLoan is the most tokens of one loan.
	mostLoan = 1 << 16
)

// account is what one host knows of a customer's limit.
type account struct {
	// pool is the bucket that this host keeps as the customer's keeper or deputy, as of pooledAt, and parts are the hosts
	// whose parts are in it.
	pool     *bucket.Bucket
	pooledAt time.Time
	parts    partners
	// keeperSince is when this host became the customer's keeper; zero means that it isn't.
	keeperSince time.Time
	// advancedAt is when the pool last got tokens in advance.
	advancedAt time.Time
	// own is the bucket of this host's own part, for the time in which it reaches nobody.
	own reserve
	// lender has this host's part until lentUntil.
	lender    string
	lentUntil time.Time
	// loan tokens are good until loanEnd.
	loan    int
	loanEnd time.Time
	// refusedUntil is how long the lender's refusal counts, comeBack when a client that it concerns should come back,
	// and refused counts those since.
	refusedUntil, comeBack time.Time
	refused                int
	// asking counts the requests that wait for an answer of another host.
	asking int
	// demand is how many requests a second came lately, as of demandAt.
	demand   float64
	demandAt time.Time
}

// count notes a request.
func (a *account) count(now time.Time) {
	if !a.demandAt.IsZero() {
		a.demand *= math.Exp(-now.Sub(a.demandAt).Seconds() / demandOver.Seconds())
	}
	a.demand += 1 / demandOver.Seconds()
	a.demandAt = now
}

// want returns how many tokens to ask for: one, and what will be used before a loan ends, unless another request asks
// for that.
func (a *account) want() int {
	if a.asking > 0 {
		return 1
	}
	return min(mostLoan, max(1, int(a.demand*loanFor.Seconds())))
}

// borrow takes a token of a loan.
func (a *account) borrow(now time.Time) bool {
	if a.loan == 0 || !now.Before(a.loanEnd) {
		return false
	}
	a.loan--
	return true
}

// free returns how long this host's part still belongs to another lender than one with an id.
func (a *account) free(now time.Time, lender string) time.Duration {
	if a.lender == lender {
		return 0
	}
	return max(0, a.lentUntil.Sub(now))
}

// lend notes that a lender has this host's part from now on, for as long as it is asked.
func (a *account) lend(now time.Time, lender string) {
	a.lender, a.lentUntil = lender, now.Add(partFor)
	a.own.pause(now)
}

// granted takes over what a lender granted for a request and those that follow it.
func (a *account) granted(now time.Time, tokens int) {
	if !now.Before(a.loanEnd) {
		a.loan = 0
	}
	a.loan += tokens - 1
	a.loanEnd = now.Add(loanFor)
}

// refusal takes over a lender's refusal.
func (a *account) refusal(now time.Time, after time.Duration) {
	a.refusedUntil = now.Add(min(after, refusedFor))
	a.comeBack = now.Add(after)
}

// unreported returns how many requests were refused since the last report to the lender.
func (a *account) unreported() int {
	n := a.refused
	a.refused = 0
	return n
}

// keep brings the bucket up to date that this host keeps as the customer's keeper, with the parts of all serving hosts
// but of those that seem to have gone elsewhere.
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

// stand brings the bucket up to date that this host keeps as the customer's deputy, or as its keeper since a moment ago.
// It has the parts that were brought to it, as those of other hosts may be with another one, and so much besides that
// the customer stays within what may run over its limit until all hosts know who its keeper is.
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

// assign notes whether this host is the customer's keeper from now on.
func (a *account) assign(now time.Time, keeper bool) {
	switch {
	case !keeper && !a.keeperSince.IsZero():
		a.keeperSince = time.Time{}
		if a.pool != nil {
			// What comes from now on is given out by another host.
			a.pool.Set(now, 0, math.Inf(1))
		}
	case keeper && a.keeperSince.IsZero():
		a.keeperSince = now
	}
}

// alone brings the bucket of this host's own part up to date, which it has once no lender has it any more.
func (a *account) alone(now time.Time, c *route.Customer, share, advance float64) *bucket.Bucket {
	if now.Before(a.lentUntil) {
		share = 0
	}
	return a.own.at(now, c.PerSecond*share, max(1, c.Burst*share), advance)
}
