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

// joined is what makes this host one of many: the list of hosts and the traffic with them.
type joined struct {
	clock     clock.Clock
	list      *member.List
	peers     *peers.Peers
	directory *directory.Directory
	rumors    *rumor.Store
	configs   *relay.Copy[route.Config]
	replicas  *relay.Copy[platform.Replica]
	// evacuations holds the operators' orders to leave availability zones alone.
	evacuations *relay.Copy[platform.Evacuation]

	mu     sync.Mutex
	placed placed
}

// placed is what was decided for one member list.
type placed struct {
	// list is the first row of the member list, which is replaced as a whole with each change.
	list *member.Host
	// self is this host's id.
	self string
	// serving are the hosts that clients are sent to, share is the part of all that this host takes. The slice stays the
	// same while the hosts do, whatever else changes in the member list.
	serving []member.Host
	// since is when the serving hosts became what they are.
	since time.Time
	share float64
	// zones holds the serving hosts of other zones.
	zones zoneHosts
	// watched are the serving hosts that this one looks after.
	watched []member.Host
}

// join opens the port for other hosts, which may call some services by name; the host joins once run is called.
func join(opts Options, incarnation string, services map[string]any) (*joined, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", opts.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	j := &joined{
		clock:       opts.Clock,
		configs:     relay.NewCopy(relay.Options[route.Config]{LastGood: true, KeepAbsent: true, Older: route.Config.OlderThan}),
		replicas:    relay.NewCopy(relay.Options[platform.Replica]{Older: platform.Replica.OlderThan, KeepFor: replicasKept}),
		evacuations: relay.NewCopy(relay.Options[platform.Evacuation]{KeepAbsent: true, KeepFor: evacuationsKept}),
	}
	services[relayService] = &relay.Methods{Clock: opts.Clock, ConfigCopy: j.configs, ReplicaCopy: j.replicas, EvacuationCopy: j.evacuations}
	self := member.Host{ID: incarnation, Caller: opts.Front, Peer: opts.Peer, Zone: opts.Zone, Region: opts.Region, Cores: opts.Cores, LinkBits: opts.LinkBits}
	j.list = member.New(member.Options{Self: self, Rand: member.NewRand(), Changed: memberlog.Changed(opts.Log)})
	j.directory = directory.New(directory.Options{
		Clock: opts.Clock, Log: opts.Log, List: opts.Store.List, Get: opts.Store.Get, Put: opts.Store.Put, Self: j.list.Self, Hosts: j.list.Hosts, Seeded: seeded,
		Era: func() int64 {
			st, _ := j.configs.State()
			return st.Era
		},
	})
	j.rumors = rumor.New(opts.Clock, func() int { return len(j.list.Hosts()) })
	j.peers, err = peers.New(peers.Options{
		Clock: opts.Clock, Log: opts.Log, Listener: l, List: j.list, Rand: member.NewRand(),
		// Documents and replica lists of the project's own interface are not shared here: both come from the platform's
		// store.
		Store: accepted.New(func(accepted.Generation) {}), Listing: listing.New(opts.Clock), Replicas: func() []platform.Replica { return nil },
		Services: services, Rumors: j.rumors,
		Opened: func(c net.Conn, addr netip.AddrPort, use peers.Use) net.Conn {
			return opts.Traffic.Conn(c, causes[use], j.crosses(addr))
		},
		Watched:  func() []member.Host { return j.place().watched },
		Contacts: func() []netip.AddrPort { return append(j.directory.Contacts(), opts.Seeds()...) },
	})
	return j, err
}

// causes says what the bytes of a connection to another host are counted as.
var causes = map[peers.Use]traffic.Cause{peers.Probes: traffic.Members, peers.Waits: traffic.Relay, peers.Works: traffic.Subqueries}

// crosses reports whether a host is in another availability zone, as far as the member list knows it.
func (j *joined) crosses(peer netip.AddrPort) bool {
	hosts := j.list.Hosts()
	i := slices.IndexFunc(hosts, func(h member.Host) bool { return h.Peer == peer })
	return i < 0 || hosts[i].Zone != j.list.Self().Zone
}

const (
	// seeded is how long the hosts that the settings name have to answer before others are sought in the store. Those
	// may be up a third of a second later than the others, and then have hundreds to answer.
	seeded = 2 * time.Second
	// settled is how long after its start a host knows the others: they answer its first probes within a second.
	settled = 1500 * time.Millisecond
)

// evacuationsKept is how long an evacuation that the store has lost holds, and one that it has again does not, unless an
// operator writes it again.
const evacuationsKept = 5 * time.Minute

// replicasKept is the same for rows of replicas. The store drops a row that was not written for three heartbeats, so that
// one that is there for longer is of a replica that lives.
const replicasKept = 10 * time.Second

// mostOthers is how many other hosts are asked at once what they keep from an earlier era of the store.
const mostOthers = 2

// relayService is the name under which hosts serve what they read from the store.
const relayService = "Relay"

// mostAsk bounds a call that waits for news at another host.
const mostAsk = 30 * time.Second

// first returns how to ask the hosts that the settings name, which answer before this host has joined the others,
// beginning with any of them: hundreds may start at once. Those hosts themselves ask nobody, so that somebody reads the
// store at once.
func first[T any](j *joined, seeds []netip.AddrPort, method string) []source.Parent[T] {
	own := j.list.Self().Peer
	if slices.Contains(seeds, own) {
		return nil
	}
	list := make([]source.Parent[T], len(seeds))
	for i, n := range rand.Perm(len(seeds)) {
		list[i] = parent[T](j, seeds[n], method)
	}
	return list
}

// parent returns how to ask the host at addr by one method of relay.Methods.
func parent[T any](j *joined, addr netip.AddrPort, method string) source.Parent[T] {
	return source.Parent[T]{Name: addr.String(), Ask: func(ctx context.Context, args relay.Args) (relay.Reply[T], error) {
		var rep relay.Reply[T]
		// The context ends the call sooner where the answer would come too late.
		if err := j.peers.Call(ctx, addr, mostAsk, relayService+"."+method, &args, &rep); err != nil {
			return rep, err
		}
		return rep, rep.Unpack()
	}}
}

// parents returns how to ask the hosts from which this one hears, by one method of relay.Methods.
func parents[T any](j *joined, method string) ([]source.Parent[T], bool) {
	hosts, watches := relay.Parents(j.list.Hosts(), j.list.Self().ID)
	list := make([]source.Parent[T], len(hosts))
	for i, h := range hosts {
		list[i] = parent[T](j, h.Peer, method)
	}
	return list, watches
}

// others returns how to ask a few hosts, any of those that are alive, by one method of relay.Methods.
func others[T any](j *joined, method string) []source.Parent[T] {
	hosts, self := j.list.Hosts(), j.list.Self().ID
	var list []source.Parent[T]
	for _, n := range rand.Perm(len(hosts)) {
		if h := hosts[n]; h.ID != self && h.State == member.StateAlive && len(list) < mostOthers {
			list = append(list, parent[T](j, h.Peer, method))
		}
	}
	return list
}

func (j *joined) run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { j.peers.Run(ctx) })
	duties.Go(func() { j.directory.Run(ctx) })
	duties.Wait()
}

// count returns how many hosts there are; two incarnations at one address are one host.
func (j *joined) count() int {
	seen := map[netip.AddrPort]bool{}
	for _, h := range j.list.Hosts() {
		seen[h.Peer] = true
	}
	return len(seen)
}

// addresses returns the hosts that serve, this one included where self is set. A host that is suspected is left out as
// long as another is known: a connection to one that has lost power costs a client a second.
func (j *joined) addresses(self bool) []member.Host {
	own := j.list.Self()
	var serving, suspect []member.Host
	for _, h := range j.place().serving {
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

// share returns which part of what all hosts together may do this one takes.
func (j *joined) share() float64 { return j.place().share }

// place returns what is decided for the member list. It is kept until the list changes: it is asked for at each try and
// each address answer, and ranking thousands of hosts takes a millisecond.
func (j *joined) place() placed {
	hosts := j.list.Hosts()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.placed.list != &hosts[0] {
		j.placed = j.placedBy(hosts)
	}
	return j.placed
}

// placedBy decides for a member list; j.mu must be held.
func (j *joined) placedBy(hosts []member.Host) placed {
	self := j.list.Self()
	serving := placement.Serving(hosts)
	sameID := func(a, b member.Host) bool { return a.ID == b.ID }
	since := j.clock.Now()
	if slices.EqualFunc(serving, j.placed.serving, sameID) {
		serving, since = j.placed.serving, j.placed.since
	}
	return placed{
		list: &hosts[0], self: self.ID, serving: serving, since: since, share: placement.Share(hosts, self.ID, leastHosts),
		zones: byZone(self, serving), watched: placement.Watched(hosts, self.ID),
	}
}
