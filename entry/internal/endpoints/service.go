package endpoints

import (
	"slices"
	"sync/atomic"
	"time"

	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/pick"
	"guavaspring.org/entry/internal/queueing"
	"guavaspring.org/entry/internal/room"
	"guavaspring.org/entry/internal/spend"
)

// Verdict says how a choice ended.
type Verdict string

// The ways in which a choice ends.
const (
	// Found means that a replica was chosen.
	Found Verdict = "found"
	// Busy means that every replica left holds as many connections of this host as it may.
	Busy Verdict = "busy"
	// None means that no replica is left that may be used.
	None Verdict = "none"
)

// Service is one service's replicas and its budget of extra tries.
type Service struct {
	Name   string
	Budget *spend.Budget
	queue
	list atomic.Pointer[[]*Replica]
	// zones are the availability zones that hold a replica which serves.
	zones atomic.Pointer[zones]
	// hosts returns the id of this host and the hosts that clients are sent to, or is nil, and chosen are the replicas
	// that this host keeps to for the newest of both.
	hosts  func() (self string, serving []member.Host)
	chosen atomic.Pointer[chosen]
	// cold is what the service's replicas bear while they are cold.
	cold atomic.Pointer[cold]
	// conns is the most connections that this host may hold to each replica.
	conns atomic.Int64
	// part returns which part of all requests this host sends.
	part func() float64
	load load
	// slots is how many requests all replicas that don't leave run at once.
	slots atomic.Int64
	// queued is how long requests queue at the replicas, by all hosts; spare is the least time that a route lets them.
	queued queueing.Delay
	spare  spare
}

// Delay returns how long a try that comes now is expected to wait for room: at this host as long as those that wait
// already take to be sent, where as many run at once as do now, and at the replica as long as others waited there
// lately. together is the wait at all services of the query.
func (s *Service) Delay(now time.Time, together time.Duration) time.Duration {
	here := s.load.wait(s.Waiting())
	if !s.occupied(now) {
		return here
	}
	return here + max(time.Duration(togetherPart*float64(together)), s.queued.At(now))
}

// Begin counts a try of a request that came to this host, whichever host sends it, and End its end and how long it
// took: how busy the replicas are is worked out from what came here, which is this host's part of all, and not from
// what it sends for others.
func (s *Service) Begin(now time.Time) { s.load.begin(now) }

// End counts the end of a try that Begin counted.
func (s *Service) End(now time.Time, took time.Duration) { s.load.end(now, took) }

// Replied takes over how long a reply took, where unloaded is how long it takes while nothing queues, zero for unknown.
func (s *Service) Replied(now time.Time, took, unloaded time.Duration) {
	s.queued.Observe(now, took, unloaded)
}

// Newest returns how long the newest reply waited at its replica, and whether that is fresh.
func (s *Service) Newest(now time.Time) (time.Duration, bool) { return s.queued.Newest(now) }

// togetherPart is how much of the wait that the newest replies of all services show counts for each of them. One reply
// of a service may have met a replica that pauses, and of ten often one or two have, which must not count whole. But it
// tells of a burst ten times sooner than the replies of one service do.
const togetherPart = 0.5

// occupiedFrom is how many requests are at the replicas, as a share of those that they run at once, from which on late
// replies are taken for a sign of queues. A queue that takes as long as the work doubles them, and part of a host's
// estimate is chance: where each host has nine requests a second, it is a third off as often as not.
const occupiedFrom = 1.4

// occupied reports whether the replicas may have queues: whether all hosts together have more requests there than they
// run at once, where this host does its part. Replicas that are slow and have little to do are late, too, and refusing
// requests would not make them any quicker.
func (s *Service) occupied(now time.Time) bool { return s.use(now) >= occupiedFrom }

// use returns how many requests are at the replicas, as a share of those that they run at once, where this host does
// its part of all.
func (s *Service) use(now time.Time) float64 {
	can := float64(s.slots.Load()) * s.part()
	if can <= 0 {
		return 0
	}
	return s.load.mean(now) / can
}

// Spare takes over how long a route lets its tries wait for room, and returns the least that any route to the service
// said lately.
func (s *Service) Spare(now time.Time, d time.Duration) time.Duration { return s.spare.least(now, d) }

// Connections returns the most connections that this host may hold to each replica.
func (s *Service) Connections() int { return int(s.conns.Load()) }

// publish takes over the service's replicas, of which serves tells which are there for new requests.
func (s *Service) publish(now time.Time, members map[string]*Replica, serves func(*Replica) bool) {
	list := make([]*Replica, 0, len(members))
	z, slots := &zones{}, int64(0)
	for _, r := range members {
		list = append(list, r)
		if serves(r) {
			slots += int64(room.Slots(r.row.Slots))
			z.add(r)
		}
	}
	s.list.Store(&list)
	s.slots.Store(slots)
	s.zones.Store(z)
	s.Wake(now)
}

// zones is where a service's serving replicas are; near says that one is in the host's own zone.
type zones struct {
	near           bool
	names, regions []string
}

func (z *zones) add(r *Replica) {
	z.near = z.near || r.near
	if !slices.Contains(z.regions, r.region) {
		z.regions = append(z.regions, r.region)
	}
	if !slices.Contains(z.names, r.row.Zone) {
		z.names = append(z.names, r.row.Zone)
	}
}

// Zones returns the availability zones that hold a replica which neither leaves nor stands in an evacuated zone, and
// whether the host's own is one of them; the slice must not be changed.
func (s *Service) Zones() (near bool, names []string) {
	z := s.zones.Load()
	return z.near, z.names
}

// Served reports whether a replica serves in one of some regions, or anywhere where there are none: one that is listed,
// does not leave, and does not stand in an evacuated zone.
func (s *Service) Served(in []string) bool {
	return slices.ContainsFunc(s.zones.Load().regions, func(region string) bool { return homes.Allow(in, region) })
}

// Replicas returns the replicas that are listed; the slice must not be changed.
func (s *Service) Replicas() []*Replica { return *s.list.Load() }

// Need is what a request asks of a choice.
type Need struct {
	pick.Need
	// Homes are the regions in which alone the request may run; none means any.
	Homes []string
	// Tried holds the replicas that had a try of the request, and Among those of which one is wanted; none means any.
	Tried, Among []*Replica
}

// excludes reports whether a replica is none for the request, whatever its state.
func (n *Need) excludes(r *Replica) bool {
	return slices.Contains(n.Tried, r) || len(n.Among) > 0 && !slices.Contains(n.Among, r) || !homes.Allow(n.Homes, r.region)
}

// Choice is a replica that was chosen, with what decided it.
type Choice struct {
	Replica *Replica
	// Estimate is how long a request there is expected to take.
	Estimate time.Duration
	// Seen is what was known of the replica.
	Seen pick.Replica
}

// widenFrom is how many times the usual the best of the replicas that a host keeps to is expected to take before the
// others are looked at.
const widenFrom = 2.5

// Pick returns the replica that goes first among those that were not tried: one of those that the host keeps to, or any
// while these are full, slow or gone.
func (s *Service) Pick(now time.Time, need Need, draw func() float64) (Choice, Verdict) {
	list := s.Replicas()
	if kept := s.kept(list); len(need.Among) == 0 && len(kept) < len(list) {
		c, verdict := s.pick(now, kept, need, draw)
		if verdict == Found && float64(c.Estimate) <= widenFrom*float64(need.Usual) {
			return c, verdict
		}
	}
	return s.pick(now, list, need, draw)
}

// pick returns the replica of some that goes first.
//
// One that has room but is too slow to be of use is passed over while another is only full: a try there would take one
// of the few that a request has, where a short wait brings a better one.
func (s *Service) pick(now time.Time, list []*Replica, need Need, draw func() float64) (Choice, Verdict) {
	var best, rested Choice
	busy := time.Duration(-1)
	use, part := s.use(now), s.part()
	need.Queues = use >= occupiedFrom
	for _, r := range list {
		if need.excludes(r) {
			continue
		}
		v, resting, usable := r.view(now)
		if !usable {
			continue
		}
		t := pick.Estimate(v, need.Usual, draw())
		switch {
		case v.Running >= room.Most(v.Slots, part, use) || !s.admits(r, v, now):
			if busy < 0 || t < busy {
				busy = t
			}
		case resting:
			rested.offer(r, t, v, need)
		default:
			best.offer(r, t, v, need)
		}
	}
	if best.Replica == nil {
		// One that could not be reached a moment ago is better than none.
		best = rested
	}
	switch {
	case best.Replica == nil && busy < 0:
		return Choice{}, None
	case best.Replica == nil, best.Estimate > need.Within && busy >= 0 && busy <= need.Within:
		return Choice{}, Busy
	}
	return best, Found
}

// admits reports whether a replica takes one more request of this host now: a connection is left, and one that is cold
// bears it.
func (s *Service) admits(r *Replica, seen pick.Replica, now time.Time) bool {
	return r.pool.Free(s.Connections()) && (!seen.Cold || r.bearsCold(now))
}

func (c *Choice) offer(r *Replica, t time.Duration, seen pick.Replica, need Need) {
	if c.Replica == nil || need.Before(seen, t, c.Seen, c.Estimate) {
		c.Replica, c.Estimate, c.Seen = r, t, seen
	}
}

// Running returns how many requests of this host are under way at the replicas.
func (s *Service) Running() int { return s.load.count() }
