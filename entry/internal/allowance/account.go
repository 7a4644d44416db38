package allowance

import (
	"math"
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/bucket"
)

const (
	// prefetchTTL is the lifetime of the tokens that a keeper grants in advance of the requests that use them.
	prefetchTTL = 200 * time.Millisecond
	// refusalTTL is how long a keeper's refusal also applies to later requests of the customer.
	refusalTTL = 50 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of a customer's request rate.
	demandTimeConstant = time.Second
	// advanceInterval is the least time between two advances of tokens to a bucket.
	advanceInterval = 10 * time.Second
	// unclaimedFraction is the fraction of the unclaimed shares that a deputy or a new keeper grants from. Most of them
	// are unused because the previous keeper is gone; if it is only partitioned, few hosts still reach it.
	unclaimedFraction = 0.35
	// maxRetryAfter is the longest time for which a refusal by another host sends a client away.
	maxRetryAfter = time.Minute
	// maxGrantTokens is the maximum number of tokens in one grant.
	maxGrantTokens = 1 << 16
)

// account is one host's state of one customer's limit.
type account struct {
	// pool is the bucket that this host holds as the customer's keeper or deputy, last updated at poolUpdatedAt.
	// contributors are the hosts whose shares of the limit may be in it.
	pool          *bucket.Bucket
	poolUpdatedAt time.Time
	contributors  contributors
	// startPool is the bucket that this host holds during the start phase, and startAdvance is the number of tokens that
	// it received in advance.
	startPool    *bucket.Bucket
	startAdvance float64
	// keeperSince is when this host became the customer's keeper, or zero if it isn't the keeper.
	keeperSince time.Time
	// advancedAt is when the pool last received an advance of tokens.
	advancedAt time.Time
	// ownBucket is the bucket of this host's own share, used while it can reach neither the keeper nor a deputy.
	ownBucket pausableBucket
	// shareHolder is the ID of the host that uses this host's share until shareHeldUntil.
	shareHolder    string
	shareHeldUntil time.Time
	// prefetched is the number of unused tokens granted in advance. They expire at prefetchExpires.
	prefetched      int
	prefetchExpires time.Time
	// refusedUntil is when the last refusal by another host expires, retryAt is when the refused clients should retry,
	// and refused counts the requests that were refused locally since the last report.
	refusedUntil, retryAt time.Time
	refused               int
	// inFlight is the number of requests that wait for a reply of another host.
	inFlight int
	// demand is the average request rate per second as of demandAt.
	demand   float64
	demandAt time.Time
}

// recordRequest adds a request to the average request rate.
func (a *account) recordRequest(now time.Time) {
	if !a.demandAt.IsZero() {
		a.demand *= math.Exp(-now.Sub(a.demandAt).Seconds() / demandTimeConstant.Seconds())
	}
	a.demand += 1 / demandTimeConstant.Seconds()
	a.demandAt = now
}

// want returns the number of tokens to ask for: enough for the requests expected within the lifetime of a grant, or one
// if another request in flight already asks for those.
func (a *account) want() int {
	if a.inFlight > 0 {
		return 1
	}
	return min(maxGrantTokens, max(1, int(a.demand*prefetchTTL.Seconds())))
}

// takePrefetched takes one of the tokens granted in advance and reports whether there was one.
func (a *account) takePrefetched(now time.Time) bool {
	if a.prefetched == 0 || !now.Before(a.prefetchExpires) {
		return false
	}
	a.prefetched--
	return true
}

// shareFreeIn returns the time until a host with the given ID may use this host's share, zero if it already does.
func (a *account) shareFreeIn(now time.Time, id string) time.Duration {
	if a.shareHolder == id {
		return 0
	}
	return max(0, a.shareHeldUntil.Sub(now))
}

// giveShare records that another host uses this host's share from now on, and stops this host's own bucket.
func (a *account) giveShare(now time.Time, id string) {
	a.shareHolder, a.shareHeldUntil = id, now.Add(shareHoldTime)
	a.ownBucket.pause(now)
}

// storeGrant stores the tokens that are left of a grant after the request that asked for it.
func (a *account) storeGrant(now time.Time, tokens int) {
	if !now.Before(a.prefetchExpires) {
		a.prefetched = 0
	}
	a.prefetched += tokens - 1
	a.prefetchExpires = now.Add(prefetchTTL)
}

// cacheRefusal stores the refusal of another host.
func (a *account) cacheRefusal(now time.Time, after time.Duration) {
	a.refusedUntil = now.Add(min(after, refusalTTL))
	a.retryAt = now.Add(after)
}

// takeUnreported returns the number of locally refused requests since the last report and resets it.
func (a *account) takeUnreported() int {
	n := a.refused
	a.refused = 0
	return n
}

// updateKeeperPool updates the pool of this host as the customer's keeper. The pool holds the shares of all serving
// hosts except those that seem to be in use elsewhere.
func (a *account) updateKeeperPool(now time.Time, c *route.Customer, f *fleet, slack float64) *bucket.Bucket {
	if now.Sub(a.keeperSince) <= provenAfter {
		return a.updateDeputyPool(now, c, f, slack)
	}
	share := f.fraction(a.contributors.usable(now) + a.contributors.idle(now, f.proven))
	rate, depth := c.PerSecond*share, c.Burst*f.fraction(len(f.serving))+spareFraction*slack
	if a.pool == nil {
		provenAt := a.keeperSince.Add(provenAfter)
		if f.startEndedAt.After(provenAt) {
			// Until then the tokens were granted elsewhere.
			provenAt = f.startEndedAt
		}
		a.pool = bucket.New(now, rate, depth, spareFraction*slack+rate*now.Sub(provenAt).Seconds())
	}
	a.pool.Set(now, rate, depth)
	a.poolUpdatedAt = now
	return a.pool
}

// updateDeputyPool updates the pool of this host as the customer's deputy or its new keeper. The pool holds the shares
// of the hosts that asked this one, as the other shares may be in use at another keeper, plus as much of the others as
// keeps the customer within the tolerated excess until all hosts agree on its keeper.
func (a *account) updateDeputyPool(now time.Time, c *route.Customer, f *fleet, slack float64) *bucket.Bucket {
	if a.pool == nil {
		a.pool = bucket.New(now, 0, 0, 0)
	}
	if now.Sub(a.poolUpdatedAt) > shareHoldTime {
		a.pool.Resume(now)
	}
	rate := c.PerSecond * f.fraction(a.contributors.usable(now))
	unclaimed := min(c.PerSecond-rate, c.PerSecond*f.fraction(a.contributors.idle(now, f.proven)))
	rate += max(min(unclaimed, bridgeFraction*slack/provenAfter.Seconds()), unclaimedFraction*unclaimed)
	a.pool.Set(now, rate, c.Burst*f.fraction(len(f.serving))+spareFraction*slack)
	a.poolUpdatedAt = now
	if slack > 0 && (a.advancedAt.IsZero() || now.Sub(a.advancedAt) > advanceInterval) {
		a.pool.Add(spareFraction * slack)
		a.advancedAt = now
	}
	return a.pool
}

// setKeeper sets whether this host is the customer's keeper.
func (a *account) setKeeper(now time.Time, keeper bool) {
	switch {
	case !keeper && !a.keeperSince.IsZero():
		a.keeperSince = time.Time{}
		if a.pool != nil {
			// From now on another host grants the customer's tokens.
			a.pool.Set(now, 0, math.Inf(1))
		}
	case keeper && a.keeperSince.IsZero():
		a.keeperSince = now
	}
}

// updateOwnBucket updates the bucket of this host's own share. Its rate is zero while another host uses that share.
func (a *account) updateOwnBucket(now time.Time, c *route.Customer, share, advance float64) *bucket.Bucket {
	if now.Before(a.shareHeldUntil) {
		share = 0
	}
	return a.ownBucket.update(now, c.PerSecond*share, max(1, c.Burst*share), advance)
}
