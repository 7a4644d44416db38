package fairness

import (
	"maps"
	"sync"
	"time"
)

// Shares decides for one host how likely the requests of each class are refused. The zero value is ready to use.
type Shares struct {
	// Changed is called when a pool begins or ends to refuse requests, with the chance of a refusal; it must not block.
	// Nil means no call.
	Changed func(pool string, refusing bool, chance float64)

	mu    sync.Mutex
	pools map[string]*pooled
}

// pooled is the state of the routes to the same services.
type pooled struct {
	slack    longest
	level    level
	decisive decisive
	claims   claims
	used     time.Time
	alarm    alarm
}

// poolTTL is how long a pool is kept after its last request.
const poolTTL = time.Minute

// pool returns the state of a pool, and drops those that no route of the configuration uses any more.
func (s *Shares) pool(now time.Time, name string) *pooled {
	p := s.pools[name]
	if p == nil {
		if s.pools == nil {
			s.pools = map[string]*pooled{}
		}
		maps.DeleteFunc(s.pools, func(_ string, p *pooled) bool { return now.Sub(p.used) > poolTTL })
		p = &pooled{}
		s.pools[name] = p
	}
	p.used = now
	return p
}

// lowerFactor is the factor on the chance of a refusal for routes of a lower priority where no customers are named. It
// keeps the higher priority ahead although requests of a short route are easier to serve; more would make the urgent
// route pay for the long one.
const lowerFactor = 1.1

// Slack records for how long a request can wait, and returns the longest such time of the pool's recent requests.
func (s *Shares) Slack(now time.Time, c *Class, own time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(now, c.Pool).slack.record(now, own)
}

// Decisive records the wait for the shard that decides whether a patient request is answered in time, the most delayed one
// that must not be missing, as a ratio of the time for which the request can wait.
func (s *Shares) Decisive(now time.Time, c *Class, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(now, c.Pool).decisive.record(now, ratio)
}

// Chance returns the probability with which a request of some work, the slot time at the replicas, is refused when the
// expected wait is ratio times the time for which requests can wait, and whether nearly all requests are refused. A
// retry has no work: it has been counted before.
func (s *Shares) Chance(now time.Time, c *Class, work time.Duration, ratio float64) (chance float64, crowded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(now, c.Pool)
	chance = p.level.update(now, ratio)
	crowded = chance >= maxChance
	chance = max(chance, p.decisive.now(now))
	if p.alarm.update(now, chance) && s.Changed != nil {
		s.Changed(c.Pool, p.alarm.on, chance)
	}
	switch {
	case c.Shared:
		chance = p.claims.chance(now, c, work, chance)
	case c.Lower:
		chance = min(maxChance, lowerFactor*chance)
	}
	return chance, crowded
}

const (
	// alarmChance is the chance of a refusal from which on a pool counts as refusing requests.
	alarmChance = 0.1
	// alarmInterval is the least time between two changes, which bounds the number of log lines.
	alarmInterval = time.Second
)

// alarm holds whether a pool refuses requests.
type alarm struct {
	on    bool
	since time.Time
}

// update reports whether the state changes: it is set from alarmChance on and reset when nothing is refused.
func (a *alarm) update(now time.Time, chance float64) bool {
	on := chance >= alarmChance || a.on && chance > 0
	if on == a.on || now.Sub(a.since) < alarmInterval {
		return false
	}
	a.on, a.since = on, now
	return true
}

// slackTTL is how long a request counts for the longest wait of its pool.
const slackTTL = 5 * time.Second

// longest is the longest wait of recent requests.
type longest struct {
	value    time.Duration
	recorded time.Time
}

func (l *longest) record(now time.Time, d time.Duration) time.Duration {
	if d >= l.value || now.Sub(l.recorded) > slackTTL {
		l.value, l.recorded = d, now
	}
	return l.value
}

// Claims returns the number of claims that are kept.
func (s *Shares) Claims() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.pools {
		n += len(p.claims.list)
	}
	return n
}
