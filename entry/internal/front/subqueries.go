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
	// subqueryService is the net/rpc service that runs parts of other hosts' queries.
	subqueryService = "Subquery"
	// maxPeersPerZone is the number of hosts of each other zone that this host sends subqueries to: enough that the loss
	// of one leaves others, and few enough that connections stay in use and each host sees enough of its replicas.
	maxPeersPerZone = 3
	// peerBackoff is how long a host gets no subqueries after it did not answer one. A host that has lost power leaves
	// the member list within that time or some seconds later, and each subquery that it doesn't answer delays the
	// response by a retry.
	peerBackoff = 2 * time.Second
	// subqueryTimeout bounds a call whose context has no deadline.
	subqueryTimeout = 2 * time.Second
)

// subqueryPeers selects the hosts that run parts of this host's queries.
type subqueryPeers struct {
	clock clock.Clock
	// hosts returns the serving hosts of other availability zones; the value stays the same until the hosts change.
	hosts func() zoneHosts
	call  func(ctx context.Context, h member.Host, method string, args, reply any) error

	mu sync.Mutex
	// backoff maps the IDs of hosts that did not answer to the time until which they get no subqueries.
	backoff map[string]time.Time
}

// zoneHosts holds hosts by availability zone; names is sorted.
type zoneHosts struct {
	names []string
	hosts map[string][]member.Host
}

// byZone groups the serving hosts of other zones in the region of self by zone. It keeps the maxPeersPerZone
// hosts of each zone that rank first for self.
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
		z.hosts[name] = list[:min(maxPeersPerZone, len(list))]
	}
	return z
}

// zones returns the other zones with serving hosts.
func (s *subqueryPeers) zones() []string { return s.hosts().names }

// peer returns a random host of a zone that is not backing off.
func (s *subqueryPeers) peer(zone string) (subquery.Peer, bool) {
	list := s.hosts().hosts[zone]
	now := s.clock.Now()
	for n, first := 0, rand.IntN(max(1, len(list))); n < len(list); n++ {
		h := list[(first+n)%len(list)]
		if s.backsOff(h.ID, now) {
			continue
		}
		return s.newPeer(h), true
	}
	return subquery.Peer{}, false
}

// backsOff reports whether a host gets no subqueries at present.
func (s *subqueryPeers) backsOff(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.backoff[id]
	if ok && !now.Before(until) {
		delete(s.backoff, id)
		return false
	}
	return ok
}

// markFailed marks a host that did not answer as backing off for peerBackoff.
func (s *subqueryPeers) markFailed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff[id] = s.clock.Now().Add(peerBackoff)
}

// newPeer returns the subquery calls to a host.
func (s *subqueryPeers) newPeer(h member.Host) subquery.Peer {
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
				// If this call fails, the host ends the subquery by itself a little later.
				_ = s.call(context.Background(), h, "Drop", &subquery.DropArgs{Job: job}, &struct{}{})
			}()
		},
	}
}

// ask calls a method that replies with the results of shards. On an error it returns an empty reply: an abandoned call
// may still write to the other one.
func (s *subqueryPeers) ask(ctx context.Context, h member.Host, method string, args any) (subquery.Reply, error) {
	var rep subquery.Reply
	if err := s.call(ctx, h, method, args, &rep); err != nil {
		return subquery.Reply{}, err
	}
	return rep, nil
}

// newSubqueryPeers returns the selection of the hosts that run parts of this host's queries.
func (f *Front) newSubqueryPeers() *subqueryPeers {
	return &subqueryPeers{
		clock: f.opts.Clock, backoff: map[string]time.Time{},
		hosts: func() zoneHosts { return f.membership.currentView().zones },
		call: func(ctx context.Context, h member.Host, method string, args, reply any) error {
			return f.membership.callSubquery(ctx, h, method, args, reply)
		},
	}
}

// subqueries returns the interface by which this host's requests run parts of their queries at other hosts.
func (f *Front) subqueries() scatter.Subqueries {
	s := f.subqueryHosts
	return scatter.Subqueries{Zones: s.zones, Peer: s.peer, Failed: func(peer subquery.Peer, err error) {
		s.markFailed(peer.ID)
		events.SubqueryLost.Log(f.opts.Log, "host", peer.Name, "zone", peer.Zone, "reason", err.Error())
	}}
}

// callSubquery calls a method of another host's subquery service.
func (j *membership) callSubquery(ctx context.Context, h member.Host, method string, args, reply any) error {
	err := j.peers.CallConcurrent(ctx, h.Peer, subqueryTimeout, subqueryService+"."+method, args, reply)
	if errors.Is(err, peers.ErrNotConnected) {
		return fmt.Errorf("%w: %w", subquery.ErrNotSent, err)
	}
	return err
}

// newSubqueryServer returns the service that runs parts of other hosts' queries here.
func (f *Front) newSubqueryServer() *subquery.Server {
	return subquery.NewServer(subquery.Options{
		Clock: f.opts.Clock, Service: f.table.Service, Version: f.configVersion, Leaving: f.drain.Leaving, Quarantine: f.quarantine, Memory: f.opts.Memory,
	})
}
