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

// Verdict is the outcome of a choice.
type Verdict string

// The verdicts of a choice.
const (
	// Found means that a replica was chosen.
	Found Verdict = "found"
	// Busy means that every remaining replica is at its limit of requests or connections from this host.
	Busy Verdict = "busy"
	// None means that no usable replica remains.
	None Verdict = "none"
)

// Service holds one service's replicas and its retry and hedge budget.
type Service struct {
	Name   string
	Budget *spend.Budget
	queue
	list atomic.Pointer[[]*Replica]
	// zones holds the availability zones and regions with a serving replica.
	zones atomic.Pointer[zones]
	// hosts returns the id of this host and the serving hosts, or is nil; chosen caches this host's subset of the
	// replicas.
	hosts  func() (self string, serving []member.Host)
	chosen atomic.Pointer[chosen]
	// cold holds the limits of the service's replicas while they are cold.
	cold atomic.Pointer[cold]
	// conns is the maximum number of connections from this host to each replica.
	conns atomic.Int64
	// part returns this host's part of all requests.
	part func() float64
	load load
	// slots is the total number of slots of the serving replicas.
	slots atomic.Int64
	// queued is the queueing delay at the replicas, caused by all hosts; spare is the shortest time for which a route
	// lets attempts wait.
	queued queueing.Delay
	spare  spare
}

// Delay returns how long an attempt that comes now is expected to wait for room: the time until the attempts waiting at
// this host are sent, at the current concurrency, plus the recent queueing delay at the replicas. together is the
// queueing delay over all services of the query.
func (s *Service) Delay(now time.Time, together time.Duration) time.Duration {
	here := s.load.wait(s.Waiting())
	if !s.occupied(now) {
		return here
	}
	return here + max(time.Duration(togetherPart*float64(together)), s.queued.At(now))
}

// Begin counts an attempt for a request that this host received, whichever host sends it. The load of the replicas is
// estimated from received requests, of which this host has a known share, and not from those that it sends for other
// hosts.
func (s *Service) Begin(now time.Time) { s.load.begin(now) }

// End counts the end of an attempt that Begin counted, and how long it took.
func (s *Service) End(now time.Time, took time.Duration) { s.load.end(now, took) }

// Replied records the time of a reply, where unloaded is the time without queueing, zero if unknown.
func (s *Service) Replied(now time.Time, took, unloaded time.Duration) {
	s.queued.Observe(now, took, unloaded)
}

// Newest returns the queueing delay of the newest reply, and whether it is recent.
func (s *Service) Newest(now time.Time) (time.Duration, bool) { return s.queued.Newest(now) }

// togetherPart is the part of the queueing delay over all services that counts for each of them. Of ten replies, one or
// two often met a replica that paused, so it must not count whole. But it shows a burst ten times sooner than the
// replies of one service do.
const togetherPart = 0.5

// occupiedFrom is the utilization from which late replies are taken as a sign of queues. A queue that takes as long as
// the work doubles the requests at the replicas, and a host's estimate is partly random: at nine requests a second per
// host it is off by a third about half of the time.
const occupiedFrom = 1.4

// occupied reports whether the replicas may have queues: whether all hosts together have more requests there than the
// slots, estimated from this host's share. Slow replicas with little to do reply late, too, and refusing requests would
// not make them faster.
func (s *Service) occupied(now time.Time) bool { return s.use(now) >= occupiedFrom }

// use returns the utilization of the replicas: requests there per slot, estimated from this host's share.
func (s *Service) use(now time.Time) float64 {
	can := float64(s.slots.Load()) * s.part()
	if can <= 0 {
		return 0
	}
	return s.load.mean(now) / can
}

// Spare records how long a route lets its attempts wait for room, and returns the shortest time that any route to the
// service recorded recently.
func (s *Service) Spare(now time.Time, d time.Duration) time.Duration { return s.spare.least(now, d) }

// Connections returns the maximum number of connections from this host to each replica.
func (s *Service) Connections() int { return int(s.conns.Load()) }

// publish stores the service's replicas, where serves reports whether one takes new requests.
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

// zones holds the zones and regions of a service's serving replicas; near is whether one is in the host's own zone.
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

// Zones returns the availability zones with a replica that is not leaving, without evacuated zones, and whether the
// host's own is one of them; the slice must not be changed.
func (s *Service) Zones() (near bool, names []string) {
	z := s.zones.Load()
	return z.near, z.names
}

// Served reports whether a replica serves in one of the regions, or in any if none is given: one that is listed, not
// leaving, and not in an evacuated zone.
func (s *Service) Served(in []string) bool {
	return slices.ContainsFunc(s.zones.Load().regions, func(region string) bool { return homes.Allow(in, region) })
}

// Replicas returns the listed replicas; the slice must not be changed.
func (s *Service) Replicas() []*Replica { return *s.list.Load() }

// Need holds the requirements of a request for a choice.
type Need struct {
	pick.Need
	// Homes are the only regions in which the request may run; none means any.
	Homes []string
	// Tried holds the replicas that had an attempt of the request, and Among the only ones to choose from; none means
	// any.
	Tried, Among []*Replica
}

// excludes reports whether the request rules out a replica, whatever its state.
func (n *Need) excludes(r *Replica) bool {
	return slices.Contains(n.Tried, r) || len(n.Among) > 0 && !slices.Contains(n.Among, r) || !homes.Allow(n.Homes, r.region)
}

// Choice is the chosen replica with the data behind the choice.
type Choice struct {
	Replica *Replica
	// Estimate is the expected time of a request there.
	Estimate time.Duration
	// Seen is the state of the replica at the time of the choice.
	Seen pick.Replica
}

// widenFrom is the factor over the usual time from which the estimate of the best replica in the host's subset makes
// the host look at the others.
const widenFrom = 2.5

// Pick chooses the best replica that the request does not rule out: one of the host's subset, or any while those are
// full, slow or gone.
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

// pick chooses the best replica of a list.
//
// One that has room but is too slow to be of use is passed over while another is merely full: an attempt there would
// use up one of the few that a request has, and after a short wait a better replica has room.
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
		// A replica in backoff is better than none.
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

// admits reports whether a replica takes one more request of this host now: a connection is free, and the limit of a
// cold replica allows it.
func (s *Service) admits(r *Replica, seen pick.Replica, now time.Time) bool {
	return r.pool.Free(s.Connections()) && (!seen.Cold || r.bearsCold(now))
}

func (c *Choice) offer(r *Replica, t time.Duration, seen pick.Replica, need Need) {
	if c.Replica == nil || need.Before(seen, t, c.Seen, c.Estimate) {
		c.Replica, c.Estimate, c.Seen = r, t, seen
	}
}

// Running returns the number of this host's requests in flight at the replicas.
func (s *Service) Running() int { return s.load.count() }
