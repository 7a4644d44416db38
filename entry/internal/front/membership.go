package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/directory"
	"guavaspring.org/entry/internal/listing"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/memberlog"
	"guavaspring.org/entry/internal/peers"
	"guavaspring.org/entry/internal/placement"
	"guavaspring.org/entry/internal/relay"
	"guavaspring.org/entry/internal/rumor"
	"guavaspring.org/entry/internal/source"
	"guavaspring.org/entry/internal/traffic"
)

// membership holds the member list, the connections to other hosts and the data shared with them.
type membership struct {
	clock     clock.Clock
	listener  net.Listener
	list      *member.List
	peers     *peers.Peers
	directory *directory.Directory
	rumors    *rumor.Store
	configs   *relay.Copy[route.Config]
	replicas  *relay.Copy[platform.Replica]
	// evacuations holds the availability zones that operators have evacuated.
	evacuations *relay.Copy[platform.Evacuation]

	mu   sync.Mutex
	view memberView
}

// memberView holds the placement computed from one member list.
type memberView struct {
	// list points to the first row of the member list, which is replaced as a whole with each change.
	list *member.Host
	// self is the ID of this host.
	self string
	// serving are the hosts that clients are directed to. The slice stays the same while these hosts do, whatever else
	// changes in the member list.
	serving []member.Host
	// since is the time of the last change of the serving hosts.
	since time.Time
	// share is this host's share of the limits that all hosts keep together, from 0 to 1.
	share float64
	// zones holds the serving hosts of other zones.
	zones zoneHosts
	// watched are the serving hosts that this host probes often, so that their loss is found soon.
	watched []member.Host
}

// join opens the port for other hosts, which may call services on it; the host joins the others once run is called. The
// directory publishes the shares.
func join(opts Options, incarnation string, services map[string]any, shares func() (int, []member.Host)) (*membership, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", opts.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	j := &membership{
		clock:       opts.Clock,
		listener:    l,
		configs:     relay.NewCopy(relay.Options[route.Config]{LastGood: true, KeepAbsent: true, Older: route.Config.OlderThan}),
		replicas:    relay.NewCopy(relay.Options[platform.Replica]{Older: platform.Replica.OlderThan, KeepFor: replicaRetention}),
		evacuations: relay.NewCopy(relay.Options[platform.Evacuation]{KeepAbsent: true, KeepFor: evacuationRetention}),
	}
	services[relayService] = &relay.Methods{Clock: opts.Clock, ConfigCopy: j.configs, ReplicaCopy: j.replicas, EvacuationCopy: j.evacuations}
	self := member.Host{ID: incarnation, Caller: opts.Front, Peer: opts.Peer, Zone: opts.Zone, Region: opts.Region, Cores: opts.Cores, LinkBits: opts.LinkBits}
	j.list = member.New(member.Options{Self: self, Rand: member.NewRand(), Changed: memberlog.Changed(opts.Log)})
	j.directory = directory.New(directory.Options{
		Clock: opts.Clock, Log: opts.Log, List: opts.Store.List, Get: opts.Store.Get, Put: opts.Store.Put, Self: j.list.Self, Hosts: j.list.Hosts, Shares: shares, Seeded: seedTimeout,
		Era: func() int64 {
			st, _ := j.configs.State()
			return st.Era
		},
	})
	j.rumors = rumor.New(opts.Clock, func() int { return len(j.list.Hosts()) })
	j.peers, err = peers.New(peers.Options{
		Clock: opts.Clock, Log: opts.Log, Listener: l, Memory: opts.ControlMemory, List: j.list, Rand: member.NewRand(),
		// Documents and replica lists, which hosts of package host exchange, are not shared here: the configuration and
		// the replicas come from the platform's store.
		Store: accepted.New(func(accepted.Generation) {}), Listing: listing.New(opts.Clock), Replicas: func() []platform.Replica { return nil },
		Services: services, Rumors: j.rumors,
		Opened: func(c net.Conn, addr netip.AddrPort, use peers.Use) net.Conn {
			return opts.Traffic.Conn(c, trafficCauses[use], j.crossesZone(addr))
		},
		Watched:  func() []member.Host { return j.currentView().watched },
		Contacts: func() []netip.AddrPort { return append(j.directory.Contacts(), opts.Seeds()...) },
	})
	return j, err
}

// trafficCauses maps the uses of connections to other hosts to the causes that their bytes are counted under.
var trafficCauses = map[peers.Use]traffic.Cause{peers.UseProbe: traffic.Members, peers.UseLongPoll: traffic.Relay, peers.UseConcurrent: traffic.Subqueries}

// crossesZone reports whether a host is in another availability zone, which it also reports for an unknown host.
func (j *membership) crossesZone(peer netip.AddrPort) bool {
	hosts := j.list.Hosts()
	i := slices.IndexFunc(hosts, func(h member.Host) bool { return h.Peer == peer })
	return i < 0 || hosts[i].Zone != j.list.Self().Zone
}

const (
	// seedTimeout is the time for the seed hosts of the settings to answer before other hosts are looked up in the store.
	// The seed hosts may start a third of a second after the others, and then have hundreds of hosts to answer.
	seedTimeout = 2 * time.Second
	// settleTime is the time after which a started host has a complete member list: the others answer its first probes
	// within a second.
	settleTime = 1500 * time.Millisecond
)

// evacuationRetention is the time for which the hosts' copy overrides the store after the store was restored from a
// backup: an evacuation that the store lost stays in force, and one that it holds again does not apply, unless an
// operator writes it again.
const evacuationRetention = 5 * time.Minute

// replicaRetention is the same for rows of replicas. The store drops a row after three heartbeats without a write, so
// a row that stays for longer belongs to a live replica.
const replicaRetention = 10 * time.Second

// maxOtherHosts is the number of other hosts asked at once for objects that they keep from an earlier restart era.
const maxOtherHosts = 2

// relayService is the net/rpc service that passes objects of the store on to other hosts.
const relayService = "Relay"

// longPollTimeout bounds a long poll for changes at another host.
const longPollTimeout = 30 * time.Second

// seedParents returns the seed hosts of the settings as parents, which answer before this host has joined the others.
// They are in random order, as hundreds of hosts may start at once. A seed host itself gets none, so that some hosts
// read the store right away.
func seedParents[T any](j *membership, seeds []netip.AddrPort, method string) []source.Parent[T] {
	own := j.list.Self().Peer
	if slices.Contains(seeds, own) {
		return nil
	}
	list := make([]source.Parent[T], len(seeds))
	for i, n := range rand.Perm(len(seeds)) {
		list[i] = hostParent[T](j, seeds[n], method)
	}
	return list
}

// hostParent returns the host at addr as a parent, which is called by a method of relay.Methods.
func hostParent[T any](j *membership, addr netip.AddrPort, method string) source.Parent[T] {
	return source.Parent[T]{Name: addr.String(), Ask: func(ctx context.Context, args relay.Args) (relay.Reply[T], error) {
		var rep relay.Reply[T]
		// The context ends the call sooner if the reply would come too late.
		if err := j.peers.Call(ctx, addr, longPollTimeout, relayService+"."+method, &args, &rep); err != nil {
			return rep, err
		}
		return rep, rep.Unpack()
	}}
}

// treeParents returns the hosts that pass the store's objects on to this one, and whether this host watches the store.
func treeParents[T any](j *membership, method string) ([]source.Parent[T], bool) {
	hosts, watches := relay.Parents(j.list.Hosts(), j.list.Self().ID)
	list := make([]source.Parent[T], len(hosts))
	for i, h := range hosts {
		list[i] = hostParent[T](j, h.Peer, method)
	}
	return list, watches
}

// otherParents returns up to maxOtherHosts random live hosts as parents.
func otherParents[T any](j *membership, method string) []source.Parent[T] {
	hosts, self := j.list.Hosts(), j.list.Self().ID
	var list []source.Parent[T]
	for _, n := range rand.Perm(len(hosts)) {
		if h := hosts[n]; h.ID != self && h.State == member.StateAlive && len(list) < maxOtherHosts {
			list = append(list, hostParent[T](j, h.Peer, method))
		}
	}
	return list
}

// run exchanges messages with the other hosts and keeps the directory up to date until ctx ends.
func (j *membership) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { j.peers.Run(ctx) })
	tasks.Go(func() { j.directory.Run(ctx) })
	tasks.Wait()
}

// hostCount returns the number of hosts; two incarnations at one address are one host.
func (j *membership) hostCount() int {
	seen := map[netip.AddrPort]bool{}
	for _, h := range j.list.Hosts() {
		seen[h.Peer] = true
	}
	return len(seen)
}

// addresses returns the serving hosts, including this one if self is set. Suspected hosts are returned only where no
// other is known: a connection to a host that has lost power costs a client a second.
func (j *membership) addresses(self bool) []member.Host {
	own := j.list.Self()
	var serving, suspect []member.Host
	for _, h := range j.currentView().serving {
		if h.ID != own.ID || self {
			serving = append(serving, h)
		}
	}
	if len(serving) > 0 {
		return serving
	}
	for _, h := range j.list.Hosts() {
		if h.ID != own.ID && h.State == member.StateSuspect {
			suspect = append(suspect, h)
		}
	}
	return suspect
}

// share returns this host's share of the limits that all hosts keep together, from 0 to 1.
func (j *membership) share() float64 { return j.currentView().share }

// currentView returns the placement for the present member list. It is cached until the list changes: each attempt and
// each address lookup needs it, and ranking thousands of hosts takes a millisecond.
func (j *membership) currentView() memberView {
	hosts := j.list.Hosts()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.view.list != &hosts[0] {
		j.view = j.computeView(hosts)
	}
	return j.view
}

// computeView computes the placement for a member list; j.mu must be held.
func (j *membership) computeView(hosts []member.Host) memberView {
	self := j.list.Self()
	serving := placement.Serving(hosts)
	sameID := func(a, b member.Host) bool { return a.ID == b.ID }
	since := j.clock.Now()
	if slices.EqualFunc(serving, j.view.serving, sameID) {
		serving, since = j.view.serving, j.view.since
	}
	return memberView{
		list: &hosts[0], self: self.ID, serving: serving, since: since, share: placement.Share(hosts, self.ID, minAssumedHosts),
		zones: byZone(self, serving), watched: placement.Monitored(hosts, self.ID),
	}
}
