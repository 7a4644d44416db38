package front

import (
	"context"
	"errors"
	"net/netip"
	"net/rpc"
	"syscall"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/allowance"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/startparts"
)

const (
	// startPartsService is the net/rpc service that passes on the number of parts known at a start.
	startPartsService = "StartParts"
	// announceInterval is the interval at which a started host announces itself to the listed ones that have not answered.
	announceInterval = 100 * time.Millisecond
)

// newStartParts returns the source of the number of parts known at the start.
func (f *Front) newStartParts() *startparts.Source {
	return startparts.New(startparts.Options{
		Clock: f.opts.Clock, Log: f.opts.Log, Self: f.opts.Peer, Seeds: f.opts.Seeds,
		Hosts: func() []netip.AddrPort {
			var list []netip.AddrPort
			for _, h := range f.membership.currentView().serving {
				list = append(list, h.Peer)
			}
			return list
		},
		Read: func(ctx context.Context) (startparts.Hint, error) {
			shares, err := f.membership.directory.ReadShares(ctx)
			return startparts.Hint{Parts: shares.Parts, Listed: shares.Serving}, err
		},
		Ask: func(ctx context.Context, addr netip.AddrPort) (startparts.Reply, error) {
			var rep startparts.Reply
			if err := f.membership.peers.CallConcurrent(ctx, addr, allowanceTimeout, startPartsService+".Hint", &startparts.Args{}, &rep); err != nil {
				return startparts.Reply{}, err
			}
			return rep, nil
		},
		Running: func() startparts.Hint {
			parts, serving := f.sharesToPublish()
			h := startparts.Hint{Parts: parts}
			for i := range serving {
				h.Listed = append(h.Listed, serving[i].Peer)
			}
			return h
		},
		Found: func(h startparts.Hint) {
			if h.From == allowance.PartsFromHost {
				f.membership.directory.SkipRead(h.Parts == 0)
			}
		},
	})
}

// sharesToPublish returns the number of parts and the hosts that have them, for hosts that start. The number is zero
// where the configuration limits no customer, and on a host that has just started.
func (f *Front) sharesToPublish() (parts int, serving []member.Host) {
	if t := f.config.Load(); t == nil || !t.LimitsCustomers() {
		return 0, nil
	}
	return f.allowances.Shares()
}

// announceStart gets the number of parts known at the start, and announces this host to the listed ones until the start
// phase is over or ctx ends.
func (f *Front) announceStart(ctx context.Context) {
	if !f.startParts.Run(ctx) {
		return
	}
	for ctx.Err() == nil && f.allowances.Announce(ctx) {
		clock.Sleep(ctx, f.opts.Clock, announceInterval)
	}
}

// joinAllowances announces this host to a listed one.
func (j *membership) joinAllowances(ctx context.Context, h member.Host, args allowance.JoinArgs) (allowance.JoinReply, error) {
	var rep allowance.JoinReply
	err := j.peers.CallConcurrent(ctx, h.Peer, allowanceTimeout, allowanceService+".Join", &args, &rep)
	var refused rpc.ServerError
	switch {
	case err == nil:
		return rep, nil
	case errors.As(err, &refused):
		// An older version, which goes by the member list.
		return allowance.JoinReply{State: allowance.StartOver}, nil
	}
	return allowance.JoinReply{Absent: errors.Is(err, syscall.ECONNREFUSED)}, err
}
