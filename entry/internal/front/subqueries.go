package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/peers"
	"guavaspring.org/entry/internal/scatter"
	"guavaspring.org/entry/internal/subquery"
)

const (
	// subqueryService is the name under which hosts take parts of other hosts' queries.
	subqueryService = "Subquery"
	// fewPeers is how many hosts of a zone this one sends subqueries to: enough that the loss of one leaves others, and
	// few enough that connections are in use and each host knows its replicas.
	fewPeers = 3
	// peerRest is how long a host that did not answer gets no subqueries. One that has lost power is out of the list of
	// hosts by then, or some seconds later, and each subquery that it doesn't answer costs its page the time of a
	// second try.
	peerRest = 2 * time.Second
	// subqueryTimeout bounds a call whose caller sets no bound.
	subqueryTimeout = 2 * time.Second
)

// subqueryPeers chooses the hosts that gather parts of this host's queries.
type subqueryPeers struct {
	clock clock.Clock
	// hosts returns the hosts that serve, by availability zone, without those of the own zone; all gets the same map
	// until the hosts change.
	hosts func() zoneHosts
	call  func(ctx context.Context, h member.Host, method string, args, reply any) error

	mu sync.Mutex
	// resting holds the hosts that did not answer, until when.
	resting map[string]time.Time
}

// zoneHosts holds hosts by availability zone.
type zoneHosts struct {
	names []string
	hosts map[string][]member.Host
}

// byZone sorts the serving hosts of other zones, of each zone those first that rank first for self.
func byZone(self member.Host, serving []member.Host) zoneHosts {
	z := zoneHosts{hosts: map[string][]member.Host{}}
	for _, h := range serving {
		if h.Region != self.Region || h.Zone == self.Zone {
			continue
		}
		if z.hosts[h.Zone] == nil {
			z.names = append(z.names, h.Zone)
		}
		z.hosts[h.Zone] = append(z.hosts[h.Zone], h)
	}
	slices.Sort(z.names)
	for name, list := range z.hosts {
		slices.SortFunc(list, func(a, b member.Host) int { return cmp.Compare(a.Key()^self.Key(), b.Key()^self.Key()) })
		z.hosts[name] = list[:min(fewPeers, len(list))]
	}
	return z
}

// zones returns the other zones that have hosts.
func (s *subqueryPeers) zones() []string { return s.hosts().names }

// peer returns a host in a zone that does not rest.
func (s *subqueryPeers) peer(zone string) (subquery.Peer, bool) {
	list := s.hosts().hosts[zone]
	now := s.clock.Now()
	for n, first := 0, rand.IntN(max(1, len(list))); n < len(list); n++ {
		h := list[(first+n)%len(list)]
		if s.rests(h.ID, now) {
			continue
		}
		return s.peerOf(h), true
	}
	return subquery.Peer{}, false
}

func (s *subqueryPeers) rests(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.resting[id]
	if ok && !now.Before(until) {
		delete(s.resting, id)
		return false
	}
	return ok
}

// failed lets a host rest.
func (s *subqueryPeers) failed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting[id] = s.clock.Now().Add(peerRest)
}

func (s *subqueryPeers) peerOf(h member.Host) subquery.Peer {
	return subquery.Peer{
		ID: h.ID, Name: h.Peer.String(), Zone: h.Zone,
		Gather: func(ctx context.Context, args *subquery.Args) (subquery.Reply, error) {
			return s.ask(ctx, h, "Gather", args)
		},
		Rest: func(ctx context.Context, args *subquery.RestArgs) (subquery.Reply, error) {
			return s.ask(ctx, h, "Rest", args)
		},
		Drop: func(job uint64) {
			go func() {
				// The host ends the subquery by itself a little later where this does not reach it.
				_ = s.call(context.Background(), h, "Drop", &subquery.DropArgs{Job: job}, &struct{}{})
			}()
		},
	}
}

// ask calls a method that replies with what became of shards. A reply that a call that was given up may still write to
// is not returned.
func (s *subqueryPeers) ask(ctx context.Context, h member.Host, method string, args any) (subquery.Reply, error) {
	var rep subquery.Reply
	if err := s.call(ctx, h, method, args, &rep); err != nil {
		return subquery.Reply{}, err
	}
	return rep, nil
}

// subqueries returns how this host's requests ask other hosts for parts of their answers.
func (f *Front) subqueries() scatter.Subqueries {
	s := &subqueryPeers{
		clock: f.opts.Clock, resting: map[string]time.Time{},
		hosts: func() zoneHosts { return f.joined.place().zones },
		call:  f.joined.callSubquery,
	}
	return scatter.Subqueries{Zones: s.zones, Peer: s.peer, Failed: func(peer subquery.Peer, err error) {
		s.failed(peer.ID)
		events.SubqueryLost.Log(f.opts.Log, "host", peer.Name, "zone", peer.Zone, "reason", err.Error())
	}}
}

// callSubquery calls another host's subquery service.
func (j *joined) callSubquery(ctx context.Context, h member.Host, method string, args, reply any) error {
	err := j.peers.Work(ctx, h.Peer, subqueryTimeout, subqueryService+"."+method, args, reply)
	if errors.Is(err, peers.ErrUnreached) {
		return fmt.Errorf("%w: %w", subquery.ErrUnreached, err)
	}
	return err
}

// newSubqueryServer returns what gathers parts of other hosts' queries here.
func (f *Front) newSubqueryServer() *subquery.Server {
	return subquery.NewServer(subquery.Options{
		Clock: f.opts.Clock, Service: f.table.Service, Version: f.configVersion, Leaving: f.drain.Leaving, Quarantine: f.crashers,
	})
}
