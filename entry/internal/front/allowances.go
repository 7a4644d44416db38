package front

import (
	"context"
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/allowance"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
)

const (
	// allowanceService is the net/rpc service that leases parts of the customers' quotas to other hosts.
	allowanceService = "Allowance"
	// allowanceTimeout bounds a call whose context has no deadline.
	allowanceTimeout = time.Second
	// servingStableFor is the time for which the serving hosts have to stay the same before a host that has just started
	// takes the list for complete: the first host that it reaches sends it the others.
	servingStableFor = 400 * time.Millisecond
)

// newAllowances returns the limiter of the customers' request rates.
func (f *Front) newAllowances() *allowance.Limiter {
	return allowance.New(allowance.Options{
		Clock: f.opts.Clock, Slack: f.opts.QuotaSlack, Excess: f.opts.QuotaExcess, View: f.allowanceView, Customer: f.customer,
		Ask: func(ctx context.Context, keeper member.Host, args allowance.Args) (allowance.Reply, error) {
			return f.membership.askAllowance(ctx, keeper, args)
		},
		Join: func(ctx context.Context, keeper member.Host, args allowance.JoinArgs) (allowance.JoinReply, error) {
			return f.membership.joinAllowances(ctx, keeper, args)
		},
		StartEnded: func(e allowance.StartEnd) {
			events.StartPhaseEnded.Log(f.opts.Log, "reason", e.Reason, "parts", e.Parts, "from", e.From, "listed", e.Listed, "reached", e.Reached, "gone", e.Gone)
		},
		Failed: func(keeper member.Host, err error) {
			events.AllowanceLost.Log(f.opts.Log, "host", keeper.Peer.String(), "zone", keeper.Zone, "reason", err.Error())
		},
	})
}

// allowanceView returns the hosts as the allowances see them.
func (f *Front) allowanceView() allowance.View { return f.allowanceViewOf(f.membership.currentView()) }

// allowanceViewOf is like allowanceView, for a given view of the member list.
func (f *Front) allowanceViewOf(p memberView) allowance.View {
	met := len(p.serving) > 1 && f.opts.Clock.Now().Sub(p.since) >= servingStableFor
	hint := f.startParts.Hint()
	return allowance.View{
		Self: p.self, Serving: p.serving, Hosts: f.membership.list.Hosts(), Settled: f.settled() || met, Leaving: f.drain.Leaving(),
		Parts: hint.Parts, PartsFrom: hint.From, Listed: hint.Listed,
	}
}

// customer returns the customer called name in the configuration in force, or nil.
func (f *Front) customer(name string) *route.Customer {
	if t := f.config.Load(); t != nil {
		return t.CustomerNamed(name)
	}
	return nil
}

// askAllowance asks another host for tokens. On an error it returns an empty reply: an abandoned call may still write
// to the other one.
func (j *membership) askAllowance(ctx context.Context, h member.Host, args allowance.Args) (allowance.Reply, error) {
	var rep allowance.Reply
	if err := j.peers.CallConcurrent(ctx, h.Peer, allowanceTimeout, allowanceService+".Lend", &args, &rep); err != nil {
		return allowance.Reply{}, err
	}
	return rep, nil
}
