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
	// allowanceService is the name under which hosts grant each other what customers may send.
	allowanceService = "Allowance"
	// allowanceTimeout bounds a call whose caller sets no bound.
	allowanceTimeout = time.Second
	// metFor is how long the serving hosts stay the same before a host that has just started counts them as all: the
	// first that it meets tells it of the others.
	metFor = 400 * time.Millisecond
)

// newAllowances returns the accounts of what customers may send.
func (f *Front) newAllowances() *allowance.Ledger {
	return allowance.New(allowance.Options{
		Clock: f.opts.Clock, Slack: f.opts.QuotaSlack, Excess: f.opts.QuotaExcess, View: f.allowanceView, Customer: f.customer,
		Ask: func(ctx context.Context, keeper member.Host, args allowance.Args) (allowance.Reply, error) {
			return f.joined.askAllowance(ctx, keeper, args)
		},
		Failed: func(keeper member.Host, err error) {
			events.AllowanceLost.Log(f.opts.Log, "host", keeper.Peer.String(), "zone", keeper.Zone, "reason", err.Error())
		},
	})
}

func (f *Front) allowanceView() allowance.View {
	p := f.joined.place()
	met := len(p.serving) > 1 && f.opts.Clock.Now().Sub(p.since) >= metFor
	return allowance.View{Self: p.self, Serving: p.serving, Hosts: f.joined.list.Hosts(), Settled: f.settled() || met, Leaving: f.drain.Leaving()}
}

// customer returns the customer with a name in the configuration in force, or nil.
func (f *Front) customer(name string) *route.Customer {
	if t := f.config.Load(); t != nil {
		return t.CustomerNamed(name)
	}
	return nil
}

// askAllowance asks another host for tokens. A reply that a call that was given up may still write to is not returned.
func (j *joined) askAllowance(ctx context.Context, h member.Host, args allowance.Args) (allowance.Reply, error) {
	var rep allowance.Reply
	if err := j.peers.Work(ctx, h.Peer, allowanceTimeout, allowanceService+".Lend", &args, &rep); err != nil {
		return allowance.Reply{}, err
	}
	return rep, nil
}
