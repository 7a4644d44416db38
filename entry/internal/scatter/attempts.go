package scatter

import (
	"fmt"
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/attempt"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/pick"
)

// Action is a decision about one shard.
type Action string

// Decisions about one shard.
const (
	// First sends the first attempt.
	First Action = "first"
	// ViaPeer has another host send the first attempts of some shards.
	ViaPeer Action = "through"
	// Retry sends an attempt after a failed one.
	Retry Action = "retry"
	// Hedge sends an attempt in parallel to a late one.
	Hedge Action = "hedge"
	// Denied withholds an extra attempt because the budget is exhausted.
	Denied Action = "denied"
	// Wait delays an attempt until a connection is free.
	Wait Action = "wait"
	// GiveUp gives up a shard.
	GiveUp Action = "miss"
	// Skipped withholds a hedge whose reply is expected too late.
	Skipped Action = "skipped"
	// Failed reports how an attempt without a usable reply ended.
	Failed Action = "failed"
	// Discarded reports that a late reply to an earlier request came before the outcome of an attempt.
	Discarded Action = "discarded"
)

// Step is one decision about a shard and its reason.
type Step struct {
	// At is the time since the request's arrival.
	At    time.Duration
	What  Action
	Shard int
	// Choice is the replica that was chosen, or whose attempt failed; its Replica is nil if there is none.
	Choice endpoints.Choice
	Why    string
}

func (p *plan) recordStep(action Action, i int, c endpoints.Choice, why string) {
	p.report.Steps = append(p.report.Steps, Step{At: p.now.Sub(p.Arrived), What: action, Shard: i, Choice: c, Why: why})
}

// attempt sends one attempt of shard i to the best remaining replica, waits for capacity, or gives up the shard.
func (p *plan) attempt(i int, action Action, why string) {
	s := &p.shards[i]
	c, verdict := p.Shards[i].Pick(p.now, p.need(i), p.runner.opts.Draw)
	switch {
	case verdict == endpoints.Found:
		p.send(i, c, action, why)
	case s.running > 0:
		// The attempt in flight may still succeed.
	case verdict == endpoints.Busy && p.now.Add(p.timing.medianLatency).Before(p.giveUpAt()):
		p.waitForCapacity(i, action)
	case verdict == endpoints.Busy:
		p.giveUp(i, why, "too little time is left to wait for capacity")
	default:
		p.giveUp(i, why, "no replica is left to try")
	}
}

// need returns the requirements of shard i on its next replica.
func (p *plan) need(i int) endpoints.Need {
	within := p.cutoff().Sub(p.now)
	if within <= 0 {
		within = p.giveUpAt().Sub(p.now)
	}
	return endpoints.Need{Need: pick.Need{Usual: p.timing.medianLatency, Within: within}, Homes: p.Homes, Tried: p.shards[i].tried, Patient: p.Class.Patient}
}

// waitForCapacity queues shard i until one of its replicas has capacity.
func (p *plan) waitForCapacity(i int, action Action) {
	s := &p.shards[i]
	if s.waiter == nil {
		p.recordStep(Wait, i, endpoints.Choice{}, "every replica has as much work of this host as it may")
		s.waiter = &endpoints.Waiter{Since: p.now, Due: p.cutoff().Add(-p.timing.tailLatency), Order: p.Class.Order(), Wake: func() {
			select {
			case p.capacityFreed <- i:
			default:
				// Dropped: the shard is also rechecked at an interval.
			}
		}}
		s.waitAction = action
		p.waitingShards++
	}
	s.recheckAt = p.now.Add(waitPollInterval)
	p.Shards[i].Wait(s.waiter, p.rank())
}

// rank returns the priority of a waiting shard of the request.
func (p *plan) rank() endpoints.Rank {
	switch {
	case !p.now.Before(p.cutoff()):
		return endpoints.Late
	case len(p.shards)-p.failedShards-p.waitingShards < p.minAnswered:
		return endpoints.Needed
	}
	return endpoints.Useful
}

// updateRanks updates the priority of all waiting shards in the queues.
func (p *plan) updateRanks() {
	for i := range p.shards {
		if w := p.shards[i].waiter; w != nil {
			p.Shards[i].Wait(w, p.rank())
		}
	}
}

func (p *plan) stopWaiting(i int) {
	s := &p.shards[i]
	if s.waiter == nil {
		return
	}
	p.Shards[i].Leave(s.waiter)
	s.waiter, s.recheckAt = nil, time.Time{}
	p.waitingShards--
}

// recheck tries again to send the attempt of a waiting shard.
func (p *plan) recheck(i int) {
	s := &p.shards[i]
	if s.waiter == nil || s.answered || s.failed {
		p.Shards[i].Wake(p.now)
		return
	}
	p.attempt(i, s.waitAction, "")
}

func (p *plan) send(i int, c endpoints.Choice, action Action, why string) {
	r := c.Replica
	s := &p.shards[i]
	waited := s.waiter != nil
	p.stopWaiting(i)
	s.tried = append(s.tried, r)
	s.sent++
	s.running++
	p.recordStep(action, i, c, why)
	if s.sent < p.Route.Attempts && p.Route.Idempotent && !p.Suspect {
		s.hedgeAt = p.now.Add(p.timing.hedgeDelay)
	}
	call := endpoints.Call{Request: p.Request, Deadline: p.Deadline, Connections: p.Shards[i].Connections(), Usual: p.timing.medianLatency, Unloaded: p.unloaded, Once: !p.Route.Idempotent, Memory: p.Memory}
	go func() {
		res := attempt.Send(p.ctx, p.runner.opts.Quarantine, attempt.Try{Fingerprint: p.Fingerprint, Shard: i, Replica: r, Call: call})
		if res.Kind == upstream.KindOK {
			p.Learned.Replied(p.runner.opts.Clock.Now(), res.Took)
		}
		p.results <- attemptResult{shard: i, replica: r, res: res}
	}()
	if waited && p.waitingShards > 0 {
		p.updateRanks()
	}
}

// hedge sends a second attempt in parallel to a late one if the budget allows it.
func (p *plan) hedge(i int) {
	s := &p.shards[i]
	if s.running == 0 || s.sent >= p.Route.Attempts || p.now.Add(p.timing.medianLatency).After(p.giveUpAt()) {
		return
	}
	if s.viaPeer != nil && !s.viaPeer.replied {
		p.excludeZone(i, s.viaPeer.peer.Zone)
	}
	need := p.need(i)
	c, verdict := p.Shards[i].Pick(p.now, need, p.runner.opts.Draw)
	switch {
	case verdict == endpoints.Busy:
		s.hedgeAt = p.now.Add(hedgeRetryInterval)
		return
	case verdict != endpoints.Found:
		return
	case c.Estimate > maxUsefulEstimate(need.Within):
		p.recordStep(Skipped, i, c, "the reply is expected too late")
		return
	}
	if !p.Shards[i].Budget.Hedge(p.now, p.runner.opts.Share()) {
		p.report.Denied++
		p.recordStep(Denied, i, c, "the budget for extra attempts is exhausted")
		return
	}
	p.report.Hedges++
	p.send(i, c, Hedge, "later than nine in ten replies")
}

// maxUsefulEstimate returns the largest latency estimate at which a hedge is still sent: half of all replies are faster
// than their estimate, and one that is expected up to 50 % late still arrives in time often enough.
func maxUsefulEstimate(within time.Duration) time.Duration { return within * 3 / 2 }

// handleResult processes the result of an attempt.
func (p *plan) handleResult(e attemptResult) {
	s := &p.shards[e.shard]
	s.running--
	switch {
	case e.res.Kind == upstream.KindNotSent:
		// No byte was sent, so the attempt does not count.
		s.sent--
		if s.sent > 0 {
			p.Shards[e.shard].Budget.Refund(p.now)
		}
	case !e.res.Kind.NotRun():
		p.report.Ran = true
	case e.res.Kind == upstream.KindShed && e.replica != nil:
		s.shedBy = append(s.shedBy, e.replica)
	}
	if e.res.LateID != "" {
		p.recordStep(Discarded, e.shard, endpoints.Choice{Replica: e.replica}, fmt.Sprintf("a late reply to request %q", e.res.LateID))
	}
	if s.answered || s.failed {
		return
	}
	s.result = e.res
	if e.res.Kind == upstream.KindOK {
		s.answered = true
		p.report.Answered++
		p.pendingShards--
		return
	}
	p.recordStep(Failed, e.shard, endpoints.Choice{Replica: e.replica}, failureReason(&e.res))
	p.handleFailure(e.shard, e.res)
}

// failureReason describes the outcome of a failed attempt and the connection on which it was sent: a reply on a
// connection that carried an earlier request may be a late one to that request.
func failureReason(res *exchange.Result) string {
	on := ""
	if res.Conn > 0 {
		on = fmt.Sprintf(" on connection %d, request %d", res.Conn, res.Nth)
	}
	return fmt.Sprintf("%s after %s%s: %s", res.Kind, res.Took.Round(time.Millisecond), on, res.Detail)
}

// handleFailure decides how a shard continues after a failed attempt.
func (p *plan) handleFailure(i int, res exchange.Result) {
	s := &p.shards[i]
	why := string(res.Kind) + ": " + res.Detail
	if s.running > 0 {
		return
	}
	s.hedgeAt = time.Time{}
	switch {
	case !p.Route.Idempotent && !res.Kind.NotRun():
		p.giveUp(i, why, "it may have run and is not sent again")
	case res.Busy && s.sent < p.Route.Attempts:
		// The free connection was taken in the meantime; the replica may be tried again.
		s.tried = s.tried[:len(s.tried)-1]
		p.waitForCapacity(i, First)
	case p.mayResend(s, res):
		s.resendAt = p.now.Add(p.timing.medianLatency)
	case s.sent >= p.Route.Attempts || len(s.tried) >= p.Route.Attempts+maxUnsentAttempts:
		p.giveUp(i, why, "no attempt is left")
	case p.now.Add(p.timing.medianLatency).After(p.giveUpAt()):
		p.giveUp(i, why, "too little time is left for another attempt")
	case s.sent > 0 && !p.Shards[i].Budget.Retry(p.now, p.runner.opts.Share()):
		p.report.Denied++
		p.giveUp(i, why, "the budget for extra attempts is exhausted")
	default:
		p.report.Retries++
		p.attempt(i, Retry, why)
	}
}

// joinReasons joins a cause and its consequence.
func joinReasons(why, then string) string {
	if why == "" {
		return then
	}
	return why + "; " + then
}

func (p *plan) giveUp(i int, why, then string) {
	s := &p.shards[i]
	if s.result.Kind == "" {
		s.result = exchange.Result{Kind: upstream.KindNotSent, Detail: joinReasons(why, then)}
	}
	p.recordStep(GiveUp, i, endpoints.Choice{}, then)
	p.stopWaiting(i)
	s.failed = true
	p.failedShards++
	p.pendingShards--
}
