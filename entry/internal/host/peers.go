package host

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/netip"

	"github.com/go-logr/logr"

	"guavaspring.org/core/event"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/peers"
)

// joined is what makes this host one of many: the list of hosts and the traffic with them.
type joined struct {
	opts  Options
	list  *member.List
	peers *peers.Peers
}

// join opens the port for other hosts; the host joins once run is called.
func join(opts Options) (*joined, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", opts.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	j := &joined{opts: opts}
	self := member.Host{ID: rand.Text(), Caller: opts.Listen, Peer: opts.Peer, Zone: opts.Zone, Region: opts.Region}
	j.list = member.New(member.Options{Self: self, Rand: newRand(), Changed: func(old, now member.Host) { logMember(opts.Log, old, now) }})
	j.peers, err = peers.New(peers.Options{
		Clock: opts.Clock, Log: opts.Log, Listener: l, List: j.list, Rand: newRand(),
		Contacts: func() []netip.AddrPort { return opts.Seeds },
	})
	return j, err
}

// leave tells the other hosts that this one is stopping.
func (j *joined) leave(ctx context.Context) error {
	j.peers.Leave(ctx)
	return nil
}

// newRand needs no secrecy: it only spreads probes and repairs.
func newRand() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
}

func logMember(log logr.Logger, old, now member.Host) {
	ev := map[member.State]event.Event{
		member.StateAlive: events.MemberAlive, member.StateSuspect: events.MemberSuspect,
		member.StateLeaving: events.MemberLeaving, member.StateDead: events.MemberDead,
	}[now.State]
	ev.Log(log, "id", now.ID, "peer", now.Peer.String(), "zone", now.Zone, "epoch", now.Epoch, "was", old.State)
}

// Hosts returns every host that is not dead, this one included.
func (h *Host) Hosts() []member.Host { return h.joined.list.Hosts() }

// Self returns this host's own row.
func (h *Host) Self() member.Host { return h.joined.list.Self() }
