package fanout

import (
	"context"
	"errors"
	"time"

	"guavaspring.org/core/caller"
)

const (
	// retryAfterBusy is the retry delay for callers if replicas were at their limits: a few reply times later the burst
	// is over, or the host rejects requests at admission.
	retryAfterBusy = 50 * time.Millisecond
	// retryAfterFailure is the retry delay for callers if replicas failed: the host ejects a failing replica within a
	// few attempts, and probes it after a second.
	retryAfterFailure = 500 * time.Millisecond
)

// finish cancels the running attempts and reports the missing shards. If why is empty, their reason is the deadline or
// the cancellation that ended the plan.
func (p *plan) finish(why string) Report {
	if why == "" {
		why = p.endReason()
	}
	cov := caller.Coverage{Shards: len(p.shards)}
	for i := range p.shards {
		s := &p.shards[i]
		if s.answered {
			cov.Answered++
			continue
		}
		cov.Missing = append(cov.Missing, i)
		if !s.closed {
			p.judgeRunning(i)
			p.decide(WhatMiss, i, nil, join(s.waitDecision, why))
		}
	}
	p.cancel()
	if cov.Shards > 0 {
		cov.Share = float64(cov.Answered) / float64(cov.Shards)
	}
	return Report{
		Snapshot: caller.Snapshot{Version: p.vm.Version, Shards: len(p.shards)},
		Hits:     merge(p.shards, p.req.Query.Limit), Coverage: cov, Decisions: p.decisions, Sent: p.sent, Needed: len(p.shards),
		RetryAfter: p.retryAfter(cov),
	}
}

func (p *plan) endReason() string {
	switch {
	case errors.Is(p.ctx.Err(), context.Canceled):
		return "the caller went away"
	case p.softPassed:
		return "the soft deadline passed"
	default:
		return "the deadline passed"
	}
}

func (p *plan) retryAfter(cov caller.Coverage) time.Duration {
	switch {
	case cov.Answered == cov.Shards:
		return 0
	case p.busy:
		return retryAfterBusy
	default:
		return retryAfterFailure
	}
}
