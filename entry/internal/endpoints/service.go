package endpoints

import (
	"slices"
	"sync/atomic"
	"time"

	"guavaspring.org/entry/internal/balance"
	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/inflight"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/pick"
	"guavaspring.org/entry/internal/queueing"
	"guavaspring.org/entry/internal/retrybudget"
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
	Budget *retrybudget.Budget
	queue
	list atomic.Pointer[[]*Replica]
	// zones holds the availability zones and regions with a serving replica.
	zones atomic.Pointer[servingZones]
	// hosts returns the id of this host and the serving hosts, or is nil; subsetCache caches this host's subset of the
	// replicas.
	hosts       func() (self string, serving []member.Host)
	subsetCache atomic.Pointer[cachedSubset]
	// balanced is whether requests are spread by capacity.
	balanced atomic.Bool
	turns    balance.Turns
	// cold holds the limits of the service's replicas while they are cold.
	cold atomic.Pointer[coldLimits]
	// conns is the maximum number of connections from this host to each replica.
	conns atomic.Int64
	// share returns this host's share of all requests.
	share func() float64
	load  load
	// slots is the total number of slots of the serving replicas.
	slots atomic.Int64
	// queueDelay is the queueing delay at the replicas, caused by all hosts; shortestWait is the shortest time for
	// which a route lets attempts wait.
	queueDelay   queueing.Delay
	shortestWait shortestWait
}

// ExpectedWait returns how long an attempt that comes now is expected to wait for room: the time until the attempts
// waiting at this host are sent, at the current concurrency, plus the recent queueing delay at the replicas. combined
// is the queueing delay over all services of the query.
func (s *Service) ExpectedWait(now time.Time, combined time.Duration) time.Duration {
	here := s.HostWait()
	if !s.mayQueue(now) {
		return here
	}
	return here + max(time.Duration(combinedDelayRatio*float64(combined)), s.queueDelay.At(now))
}

// HostWait returns the time until the attempts waiting at this host are sent, at the current concurrency.
func (s *Service) HostWait() time.Duration { return s.load.expectedWait(s.Waiting()) }

// RecentWaits appends to list the queueing delays of the replies that came after a time.
func (s *Service) RecentWaits(list []time.Duration, after time.Time) []time.Duration {
	return s.queueDelay.Since(list, after)
}

// QueueDelay returns the queueing delay of the last second at this service's replicas, caused by all hosts.
func (s *Service) QueueDelay(now time.Time) time.Duration { return s.queueDelay.At(now) }

// Occupied reports whether the replicas have no free slot on average. From then on late replies may be due to a queue.
func (s *Service) Occupied(now time.Time) bool { return s.utilization(now) >= 1 }

// BeginAttempt counts an attempt for a request that this host received, whichever host sends it. The load of the
// replicas is estimated from received requests, of which this host has a known share, and not from those that it sends
// for other hosts.
func (s *Service) BeginAttempt(now time.Time) { s.load.begin(now) }

// EndAttempt counts the end of an attempt that BeginAttempt counted, and how long it took.
func (s *Service) EndAttempt(now time.Time, took time.Duration) { s.load.end(now, took) }

// RecordReply records the time of a reply, where unloaded is the time without queueing, zero if unknown.
func (s *Service) RecordReply(now time.Time, took, unloaded time.Duration) {
	s.queueDelay.Observe(now, took, unloaded)
}

// NewestQueueDelay returns the queueing delay of the newest reply, and whether it is recent.
func (s *Service) NewestQueueDelay(now time.Time) (time.Duration, bool) {
	return s.queueDelay.Newest(now)
}

// combinedDelayRatio is the part of the queueing delay over all services that counts for each of them. Of ten replies,
// one or two often met a replica that paused, so it must not count whole. But it shows a burst ten times sooner than
// the replies of one service do.
const combinedDelayRatio = 0.5

// queueUtilization is the utilization from which late replies are taken as a sign of queues. A queue that takes as long
// as the work doubles the requests at the replicas, and a host's estimate is partly random: at nine requests a second
// per host it is off by a third about half of the time.
const queueUtilization = 1.4

// mayQueue reports whether the replicas may have queues: whether all hosts together have more requests there than the
// slots, estimated from this host's share. Slow replicas with little to do reply late, too, and refusing requests would
// not make them faster.
func (s *Service) mayQueue(now time.Time) bool { return s.utilization(now) >= queueUtilization }

// utilization returns the utilization of the replicas: requests there per slot, estimated from this host's share.
func (s *Service) utilization(now time.Time) float64 {
	capacity := float64(s.slots.Load()) * s.share()
	if capacity <= 0 {
		return 0
	}
	return s.load.mean(now) / capacity
}

// ShortestWait records how long a route lets its attempts wait for room, and returns the shortest time that any route
// to the service recorded recently.
func (s *Service) ShortestWait(now time.Time, d time.Duration) time.Duration {
	return s.shortestWait.record(now, d)
}

// Connections returns the maximum number of connections from this host to each replica.
func (s *Service) Connections() int { return int(s.conns.Load()) }

// publish stores the service's replicas, where serves reports whether one takes new requests.
func (s *Service) publish(now time.Time, members map[string]*Replica, serves func(*Replica) bool) {
	list := make([]*Replica, 0, len(members))
	z, slots := &servingZones{}, int64(0)
	for _, r := range members {
		list = append(list, r)
		if serves(r) {
			slots += int64(inflight.Slots(r.row.Slots))
			z.add(r)
		}
	}
	s.list.Store(&list)
	s.slots.Store(slots)
	s.zones.Store(z)
	s.Wake(now)
}

// servingZones holds the zones and regions of a service's serving replicas; near is whether one is in the host's
// own zone.
type servingZones struct {
	near           bool
	names, regions []string
}

func (z *servingZones) add(r *Replica) {
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
	// Patient is whether a route of a much shorter objective shares the replicas.
	Patient bool
	// Tried holds the replicas that had an attempt of the request, and Among the only ones to choose from; none means
	// any.
	Tried, Among []*Replica
}

// excludes reports whether the request rules out a replica, whatever its state.
func (n *Need) excludes(r *Replica) bool {
	return slices.Contains(n.Tried, r) || len(n.Among) > 0 && !slices.Contains(n.Among, r) || !homes.Allow(n.Homes, r.region)
}

// inFlightLimit returns the number of requests that this host may have at a replica when it sends another one.
func (n *Need) inFlightLimit(slots int, share, utilization float64) int {
	if n.Patient {
		return inflight.PatientLimit(slots, share, utilization)
	}
	return inflight.Limit(slots, share, utilization)
}

// Choice is the chosen replica with the data behind the choice.
type Choice struct {
	Replica *Replica
	// Estimate is the expected time of a request there.
	Estimate time.Duration
	// Seen is the state of the replica at the time of the choice.
	Seen pick.Replica
}

// widenRatio is the factor over the usual time from which the estimate of the best replica in the host's subset makes
// the host look at the others.
const widenRatio = 2.5

// Pick chooses the best replica that the request does not rule out: one of the host's subset, or any while those are
// full, slow or gone.
func (s *Service) Pick(now time.Time, need Need, draw func() float64) (Choice, Verdict) {
	list := s.Replicas()
	if own := s.hostSubset(list); len(need.Among) == 0 && len(own) < len(list) {
		c, verdict := s.pick(now, own, need, draw)
		if verdict == Found && float64(c.Estimate) <= widenRatio*float64(need.Usual) {
			return c, verdict
		}
	}
	return s.pick(now, list, need, draw)
}

// pickFrom chooses the best replica of a list; like collects the candidates of a balanced choice.
//
// One that has room but is too slow to be of use is passed over while another is merely full: an attempt there would
// use up one of the few that a request has, and after a short wait a better replica has room.
func (s *Service) pickFrom(now time.Time, list []*Replica, need Need, draw func() float64, like *candidates) (Choice, Verdict) {
	var best, fallback Choice
	busyEstimate := time.Duration(-1)
	utilization, share := s.utilization(now), s.share()
	need.Queues = utilization >= queueUtilization
	for _, r := range list {
		if need.excludes(r) {
			continue
		}
		v, backingOff, usable := r.view(now)
		if !usable {
			continue
		}
		like.suspect(&v)
		estimate := pick.Estimate(v, need.Usual, draw())
		switch {
		case v.Running >= need.inFlightLimit(v.Slots, share, utilization) || !s.hasRoom(r, v, now):
			if busyEstimate < 0 || estimate < busyEstimate {
				busyEstimate = estimate
			}
		case backingOff:
			fallback.consider(r, estimate, v, need)
		default:
			best.consider(r, estimate, v, need)
			like.add(r, estimate, v, need)
		}
	}
	best = like.balance(now, best)
	if best.Replica == nil {
		// A replica in backoff is better than none.
		best = fallback
	}
	switch {
	case best.Replica == nil && busyEstimate < 0:
		return Choice{}, None
	case best.Replica == nil, best.Estimate > need.Within && busyEstimate >= 0 && busyEstimate <= need.Within:
		return Choice{}, Busy
	}
	return best, Found
}

// hasRoom reports whether a replica takes one more request of this host now: a connection is free, and the limit of a
// cold replica allows it.
func (s *Service) hasRoom(r *Replica, seen pick.Replica, now time.Time) bool {
	return r.pool.HasFreeConn(s.Connections()) && (!seen.Cold || r.coldHasRoom(now))
}

func (c *Choice) consider(r *Replica, estimate time.Duration, seen pick.Replica, need Need) {
	if c.Replica == nil || need.Before(seen, estimate, c.Seen, c.Estimate) {
		c.Replica, c.Estimate, c.Seen = r, estimate, seen
	}
}

// Running returns the number of this host's requests in flight at the replicas.
func (s *Service) Running() int { return s.load.count() }
