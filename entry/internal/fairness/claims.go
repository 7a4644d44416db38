package fairness

import (
	"math"
	"slices"
	"time"
)

const (
	// maxClaims bounds the claims that a host keeps of a pool: 4,096 of some 100 bytes.
	maxClaims = 4096
	// claimMemory is the time constant with which claims decay: long enough for a host that gets a request of a
	// customer every few seconds; a customer with many more exceeds its share within a part of that.
	claimMemory = 4 * time.Second
	// claimTTL is how long a claim is kept after its last request.
	claimTTL = 5 * claimMemory
	// divideInterval is the time between two calculations of the shares.
	divideInterval = 50 * time.Millisecond
	// floorShare is the least share of its requests that a claim is admitted with, as a part of that of all requests. No
	// customer may be served less than a quarter as often as all; the rest is for those that are served late or not.
	floorShare = 0.35
)

// claimant is who work is divided among: a customer at a priority, or a route without a customer.
type claimant struct {
	customer, route string
	priority        int
}

func (c *Class) claimant() claimant {
	who := claimant{customer: c.Customer, priority: c.Level()}
	if c.Customer == "" {
		who.route = c.Route
	}
	return who
}

// claim is the recent work of the requests of a claimant, as of at.
type claim struct {
	work float64
	at   time.Time
}

func (c *claim) now(now time.Time) float64 {
	return c.work * math.Exp(-now.Sub(c.at).Seconds()/claimMemory.Seconds())
}

// claims divides what a host may admit to a pool among its customers: by priority, and within a priority by max-min
// fairness, so that each gets what it asks for up to a common level.
//
// A refusal probability that is the same for all lets a customer that sends 25 times its usual load take the work of
// all others. Each host decides by its own requests: clients choose hosts at random, so that it sees a sample of all.
type claims struct {
	list map[claimant]*claim
	// levels holds the admitted work per claimant and priority as of divided, and floor the least admitted share.
	levels  [Levels]float64
	floor   float64
	divided time.Time
}

// chance returns the probability with which a request of a class is refused where base is that of all requests, and
// counts its work.
func (s *claims) chance(now time.Time, c *Class, work time.Duration, base float64) float64 {
	who := c.claimant()
	if base > 0 && now.Sub(s.divided) >= divideInterval {
		s.divide(now, base)
	}
	// The request itself is not part of the claim: a customer with few requests would exceed its share with each.
	before := s.add(now, who, work)
	level := s.levels[who.priority]
	switch {
	case base <= 0:
		return 0
	case level <= 0:
		// The higher priorities take all, also from those whose requests are too few for a claim on this host.
		return 1 - s.floor
	case before <= level:
		return 0
	}
	return 1 - max(s.floor, level/before)
}

// add counts the work of a request and returns the claim before it.
func (s *claims) add(now time.Time, who claimant, work time.Duration) float64 {
	c := s.list[who]
	if c == nil {
		if len(s.list) >= maxClaims {
			s.evict(now)
		}
		if s.list == nil {
			s.list = map[claimant]*claim{}
		}
		c = &claim{at: now}
		s.list[who] = c
	}
	before := c.now(now)
	c.work, c.at = before+work.Seconds(), now
	return before
}

// evict drops the smaller half of the claims. Who has a small claim is below its share, as is who has none.
func (s *claims) evict(now time.Time) {
	sizes := make([]float64, 0, len(s.list))
	for _, c := range s.list {
		sizes = append(sizes, c.now(now))
	}
	slices.Sort(sizes)
	median, left := sizes[len(sizes)/2], len(sizes)/2
	for who, c := range s.list {
		if left > 0 && c.now(now) <= median {
			delete(s.list, who)
			left--
		}
	}
}

// divide calculates the levels. Each priority gets what the higher ones leave, and each claim at least the floor.
func (s *claims) divide(now time.Time, base float64) {
	s.divided = now
	s.floor = floorShare * (1 - base)
	var byPriority [Levels][]float64
	sum := 0.0
	for who, c := range s.list {
		if now.Sub(c.at) > claimTTL {
			delete(s.list, who)
			continue
		}
		work := c.now(now)
		byPriority[who.priority] = append(byPriority[who.priority], work)
		sum += work
	}
	// Beyond the floors, which all claims get.
	left := (1 - base) * sum * (1 - floorShare)
	for priority, list := range byPriority {
		s.levels[priority], left = fill(list, s.floor, left)
	}
}

// fill returns the level up to which claims are admitted, so that they get no more than left beyond their floors, and
// what remains of left.
func fill(list []float64, floor, left float64) (level, remains float64) {
	over := func(level float64) float64 {
		sum := 0.0
		for _, work := range list {
			sum += max(0, min(work, level)-floor*work)
		}
		return sum
	}
	if left <= 0 {
		return 0, 0
	}
	if needed := over(math.Inf(1)); needed <= left {
		return math.Inf(1), left - needed
	}
	low, high := 0.0, slices.Max(list)
	for range 30 {
		if mid := (low + high) / 2; over(mid) > left {
			high = mid
		} else {
			low = mid
		}
	}
	return low, 0
}
