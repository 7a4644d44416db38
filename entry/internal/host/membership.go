package host

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"

	"guavaspring.org/core/platform"
	"guavaspring.org/core/ring"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/directory"
	"guavaspring.org/entry/internal/follow"
	"guavaspring.org/entry/internal/listing"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/memberlog"
	"guavaspring.org/entry/internal/peers"
	"guavaspring.org/entry/internal/rumor"
	"guavaspring.org/entry/internal/status"
)

// membership holds the member list, the connections to other hosts and the data shared with them.
type membership struct {
	opts   Options
	list   *member.List
	rumors *rumor.Store
	peers  *peers.Peers
	status *status.Writer
	// directory finds hosts that are not in the settings.
	directory *directory.Directory
	// draining queues draining replicas for publication to the other hosts.
	draining *ring.Ring[drainingReplica]
}

// join opens the port for other hosts; the host joins the others once runPeers is called.
func join(opts Options, client *platform.Client, store *accepted.Store, rows *listing.Table, replicas func() []platform.Replica) (*membership, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", opts.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	j := &membership{opts: opts, draining: ring.New[drainingReplica](drainingQueueSize)}
	self := member.Host{ID: rand.Text(), Caller: opts.Listen, Peer: opts.Peer, Zone: opts.Zone, Region: opts.Region}
	j.list = member.New(member.Options{Self: self, Rand: member.NewRand(), Changed: memberlog.Changed(opts.Log)})
	j.directory = directory.New(directory.Options{
		Clock: opts.Clock, Log: opts.Log, List: client.List, Get: client.Get, Put: client.Put, Self: j.list.Self, Hosts: j.list.Hosts, Era: client.Era,
	})
	j.rumors = rumor.New(opts.Clock, func() int { return len(j.list.Hosts()) })
	j.peers, err = peers.New(peers.Options{
		Clock: opts.Clock, Log: opts.Log, Listener: l, List: j.list, Store: store, Rumors: j.rumors, Listing: rows, Replicas: replicas, Rand: member.NewRand(),
		Contacts: func() []netip.AddrPort { return append(j.directory.Contacts(), opts.Seeds...) },
	})
	return j, err
}

// follow returns the follower that applies changes of the platform's objects to this host.
func (h *Host) follow(client *platform.Client) *follow.Follower {
	return follow.New(follow.Options{
		Clock: h.opts.Clock, Log: h.opts.Log, Platform: client, Store: h.store, Replicas: h.applyReplicaList,
		Self: h.Self, Hosts: h.Hosts, Listing: h.listing,
		ReplicasRead: func(rows []listing.Row) { h.membership.peers.AnnounceReplicas(rows) },
		AskReplicas:  func(ctx context.Context) ([]platform.Replica, error) { return h.membership.peers.FetchReplicas(ctx) },
	})
}

// runPeers runs membership, the directory, the status writer and the follower of the platform until ctx ends.
func (h *Host) runPeers(ctx context.Context) {
	h.Subscribe(rumor.KindDraining, h.applyDrainingRumor)
	h.Subscribe(rumor.KindQuarantine, h.applyQuarantineRumor)
	var tasks sync.WaitGroup
	tasks.Go(func() { h.publishDraining(ctx) })
	tasks.Go(func() { h.membership.peers.Run(ctx) })
	tasks.Go(func() { h.membership.directory.Run(ctx) })
	tasks.Go(func() { h.membership.status.Run(ctx) })
	tasks.Go(func() { h.follower.ReadAccepted(ctx) })
	tasks.Go(func() { h.follower.WatchAccepted(ctx) })
	tasks.Go(func() { h.follower.WatchDocuments(ctx) })
	tasks.Go(func() { h.follower.ProcessProposals(ctx) })
	tasks.Go(func() { h.follower.PollReplicas(ctx) })
	tasks.Wait()
}

// status returns the writer of the services' statuses.
func (h *Host) status(client *platform.Client) *status.Writer {
	return status.New(status.Options{
		Clock: h.opts.Clock, Log: h.opts.Log, Get: client.Get, Put: client.Put, Self: h.Self, Hosts: h.Hosts,
		Era: client.Era, First: h.follower.IsFirstWatcher, Services: h.serviceNames, Report: h.report, Number: h.membership.peers.Number,
	})
}

// serviceNames returns the sorted names of all services that are configured here or proposed on the platform.
func (h *Host) serviceNames() []string {
	names := h.follower.Services()
	for _, gen := range h.store.All() {
		names = append(names, gen.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// report returns the status of a service as this host sees it.
func (h *Host) report(name string) platform.Status {
	gen, _ := h.store.Get(name)
	proposed, refusal := h.follower.Proposed(name)
	st := platform.Status{Service: name, Generation: gen.Number, Proposed: max(proposed, gen.Number), Refused: refusal.Reason, Versions: []platform.StatusVersion{}}
	if s := h.service(name); s != nil {
		st.Replicas, st.Versions = s.Status()
	}
	return st
}

// Publish sends a rumor to all hosts.
func (h *Host) Publish(r rumor.Rumor) error { return h.membership.peers.Publish(r) }

// Subscribe calls f for each present and future rumor of a kind.
func (h *Host) Subscribe(kind rumor.Kind, f func(rumor.Rumor)) {
	h.membership.rumors.Subscribe(kind, f)
}

// leave announces to the other hosts that this one is stopping.
func (j *membership) leave(ctx context.Context) { j.peers.Leave(ctx) }

// Hosts returns all hosts that are not dead, including this one.
func (h *Host) Hosts() []member.Host { return h.membership.list.Hosts() }

// Self returns this host's row of the member list.
func (h *Host) Self() member.Host { return h.membership.list.Self() }
