package peers

import (
	"context"
	"net/netip"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/member"
)

const (
	// discoveryInterval is the time between two rounds of discovery after the host has joined.
	discoveryInterval = 5 * time.Second
	// maxContacts bounds the unknown addresses contacted in one round.
	maxContacts = 3
)

// discover joins the fleet. After that, each discoveryInterval, it contacts unknown addresses until one answers, and
// one host that died without a stop and may have been partitioned.
func (p *Peers) discover(ctx context.Context) {
	for ctx.Err() == nil {
		p.contactUnknown(ctx)
		if lost, ok := p.opts.List.LostHost(); ok {
			p.syncWith(ctx, lost.Peer, lost.ID)
		}
		clock.Sleep(ctx, p.opts.Clock, p.discoveryDelay())
	}
}

// discoveryDelay returns the time until the next round; it is short before the host has joined, since it can't serve
// anything useful until then.
func (p *Peers) discoveryDelay() time.Duration {
	if len(p.opts.List.Hosts()) == 1 {
		return tickInterval
	}
	return discoveryInterval
}

func (p *Peers) contactUnknown(ctx context.Context) {
	known := map[netip.AddrPort]bool{p.opts.List.Self().Peer: true}
	for _, h := range p.opts.List.Hosts() {
		known[h.Peer] = true
	}
	var unknown []netip.AddrPort
	for _, addr := range p.opts.Contacts() {
		if !known[addr] {
			unknown = append(unknown, addr)
		}
	}
	for range min(maxContacts, len(unknown)) {
		p.mu.Lock()
		p.nextContact++
		addr := unknown[p.nextContact%len(unknown)]
		p.mu.Unlock()
		if p.syncWith(ctx, addr, "") {
			return
		}
	}
}

// syncWith exchanges packets with a host whose ID is unknown (empty) or that is listed as dead, and then repairs its
// tables. A host that is alone copies all tables.
func (p *Peers) syncWith(ctx context.Context, addr netip.AddrPort, id string) bool {
	alone := len(p.opts.List.Hosts()) == 1
	args := p.newPacket(id)
	args.Member.Rows = append(args.Member.Rows, p.opts.List.Self())
	var reply Packet
	if err := p.pool.call(ctx, addr, probeTimeout, "Probe", &args, &reply); err != nil {
		return false
	}
	p.receive(&reply)
	if id != "" && reply.Member.From != id {
		p.opts.List.MarkReplaced(p.opts.Clock.Now(), member.Host{ID: id})
	}
	if alone {
		p.repair(ctx, addr, TableMembers, joinWalk)
		p.repair(ctx, addr, TableGenerations, joinWalk)
		p.repair(ctx, addr, TableRumors, joinWalk)
		p.repair(ctx, addr, TableReplicas, joinWalk)
		return true
	}
	p.repairTables(ctx, addr, reply.Sums)
	return true
}
