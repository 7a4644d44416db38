package scatter

import (
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/guarded"
	"guavaspring.org/entry/internal/pick"
)

// What names a decision about one shard.
type What string

// The decisions about one shard.
const (
	// First sends the first try.
	First What = "first"
	// Through lets another host send the first try of some shards.
	Through What = "through"
	// Retry sends a try after one that failed.
	Retry What = "retry"
	// Hedge sends a try beside one that is late.
	Hedge What = "hedge"
	// Denied keeps a second try back, since the budget is spent.
	Denied What = "denied"
	// Wait holds a shard back until a connection is free.
	Wait What = "wait"
	// Miss gives a shard up.
	Miss What = "miss"
	// Skipped keeps a second try back that would come too late.
	Skipped What = "skipped"
	// Failed says how a try ended that brought no part.
	Failed What = "failed"
)

// Step is one decision about a shard, with what decided it.
type Step struct {
	// At is the time after the request's arrival.
	At    time.Duration
	What  What
	Shard int
	// Choice is the replica that was chosen, or whose try failed; its Replica is nil where there is none.
	Choice endpoints.Choice
	Why    string
}

func (p *plan) note(what What, i int, c endpoints.Choice, why string) {
	p.report.Steps = append(p.report.Steps, Step{At: p.now.Sub(p.Arrived), What: what, Shard: i, Choice: c, Why: why})
}

// try sends one try of shard i to the best replica left, waits for room, or gives the shard up.
func (p *plan) try(i int, what What, why string) {
	s := &p.shards[i]
	c, verdict := p.Shards[i].Pick(p.now, p.need(i), p.run.opts.Draw)
	switch {
	case verdict == endpoints.Found:
		p.send(i, c, what, why)
	case s.running > 0:
		// The try under way may still answer.
	case verdict == endpoints.Busy && p.now.Add(p.timing.usual).Before(p.end()):
		p.wait(i, what)
	case verdict == endpoints.Busy:
		p.miss(i, why, "too little time is left to wait for room")
	default:
		p.miss(i, why, "no replica is left to try")
	}
}

// need returns what shard i asks of its next replica.
func (p *plan) need(i int) endpoints.Need {
	within := p.cutoff().Sub(p.now)
	if within <= 0 {
		within = p.end().Sub(p.now)
	}
	return endpoints.Need{Need: pick.Need{Usual: p.timing.usual, Within: within}, Homes: p.Homes, Tried: p.shards[i].tried}
}

// wait lets shard i wait for room at its replicas.
func (p *plan) wait(i int, what What) {
	s := &p.shards[i]
	if s.waiter == nil {
		p.note(Wait, i, endpoints.Choice{}, "every replica has as much work of this host as it may")
		s.waiter = &endpoints.Waiter{Since: p.now, Due: p.cutoff().Add(-p.timing.late), Wake: func() {
			select {
			case p.room <- i:
			default:
				// The plan looks at the shard anyway.
			}
		}}
		s.what = what
		p.waiting++
	}
	s.lookAt = p.now.Add(lookAgain)
	p.Shards[i].Wait(s.waiter, p.rank())
}

// rank returns how much a shard that waits is worth to the request.
func (p *plan) rank() endpoints.Rank {
	switch {
	case !p.now.Before(p.cutoff()):
		return endpoints.Late
	case len(p.shards)-p.lost-p.waiting < p.least:
		return endpoints.Needed
	}
	return endpoints.Useful
}

// rerank tells the queues what the waiting shards are worth now.
func (p *plan) rerank() {
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
	s.waiter, s.lookAt = nil, time.Time{}
	p.waiting--
}

// look tries a waiting shard again.
func (p *plan) look(i int) {
	s := &p.shards[i]
	if s.waiter == nil || s.answered || s.lost {
		p.Shards[i].Wake(p.now)
		return
	}
	p.try(i, s.what, "")
}

func (p *plan) send(i int, c endpoints.Choice, what What, why string) {
	r := c.Replica
	s := &p.shards[i]
	waited := s.waiter != nil
	p.stopWaiting(i)
	s.tried = append(s.tried, r)
	s.sent++
	s.running++
	p.note(what, i, c, why)
	if s.sent < p.Route.Attempts && p.Route.Idempotent && !p.Suspect {
		s.hedgeAt = p.now.Add(p.timing.hedge)
	}
	call := endpoints.Call{Request: p.Request, Deadline: p.Deadline, Connections: p.Shards[i].Connections(), Usual: p.timing.usual, Unloaded: p.unloaded, Once: !p.Route.Idempotent}
	go func() {
		res := guarded.Send(p.ctx, p.run.opts.Quarantine, guarded.Try{Fingerprint: p.Fingerprint, Shard: i, Replica: r, Call: call})
		if res.Kind == upstream.KindOK {
			p.Learned.Replied(p.run.opts.Clock.Now(), res.Took)
		}
		p.ends <- ended{shard: i, replica: r, res: res}
	}()
	if waited && p.waiting > 0 {
		p.rerank()
	}
}

// hedge sends a second try beside one that is late, where the budget allows it.
func (p *plan) hedge(i int) {
	s := &p.shards[i]
	if s.running == 0 || s.sent >= p.Route.Attempts || p.now.Add(p.timing.usual).After(p.end()) {
		return
	}
	if s.through != nil && !s.through.told {
		p.excludeZone(i, s.through.peer.Zone)
	}
	need := p.need(i)
	c, verdict := p.Shards[i].Pick(p.now, need, p.run.opts.Draw)
	switch {
	case verdict == endpoints.Busy:
		s.hedgeAt = p.now.Add(hedgeAgain)
		return
	case verdict != endpoints.Found:
		return
	case c.Estimate > lateEnough(need.Within):
		p.note(Skipped, i, c, "expected too late to be of use")
		return
	}
	if !p.Shards[i].Budget.Hedge(p.now, p.run.opts.Share()) {
		p.report.Denied++
		p.note(Denied, i, c, "the budget of extra tries is spent")
		return
	}
	p.report.Hedges++
	p.send(i, c, Hedge, "later than nine in ten replies")
}

// lateEnough returns the estimate above which a second try is not sent: half of all replies are quicker than the
// estimate, and one that is expected up to half too late still comes in time often enough.
func lateEnough(within time.Duration) time.Duration { return within * 3 / 2 }

// take takes over how a try ended.
func (p *plan) take(e ended) {
	s := &p.shards[e.shard]
	s.running--
	switch {
	case e.res.Kind == upstream.KindNotSent:
		// No byte left: the try counts against nothing.
		s.sent--
		if s.sent > 0 {
			p.Shards[e.shard].Budget.Unsend(p.now)
		}
	case !e.res.Kind.NotRun():
		p.report.Ran = true
	case e.res.Kind == upstream.KindShed && e.replica != nil:
		s.turnedAway = append(s.turnedAway, e.replica)
	}
	if s.answered || s.lost {
		return
	}
	s.result = e.res
	if e.res.Kind == upstream.KindOK {
		s.answered = true
		p.report.Answered++
		p.open--
		return
	}
	p.note(Failed, e.shard, endpoints.Choice{Replica: e.replica}, string(e.res.Kind)+" after "+e.res.Took.Round(time.Millisecond).String()+": "+e.res.Detail)
	p.failed(e.shard, e.res)
}

// failed decides what follows a try that brought no part.
func (p *plan) failed(i int, res exchange.Result) {
	s := &p.shards[i]
	why := string(res.Kind) + ": " + res.Detail
	if s.running > 0 {
		return
	}
	s.hedgeAt = time.Time{}
	switch {
	case !p.Route.Idempotent && !res.Kind.NotRun():
		p.miss(i, why, "it may have run and is not sent again")
	case res.Busy && s.sent < p.Route.Attempts:
		// The connection that was free is taken: the replica may be tried again.
		s.tried = s.tried[:len(s.tried)-1]
		p.wait(i, First)
	case p.mayResend(s, res):
		s.resendAt = p.now.Add(p.timing.usual)
	case s.sent >= p.Route.Attempts || len(s.tried) >= p.Route.Attempts+unsentTries:
		p.miss(i, why, "no try is left")
	case p.now.Add(p.timing.usual).After(p.end()):
		p.miss(i, why, "too little time is left for another try")
	case s.sent > 0 && !p.Shards[i].Budget.Retry(p.now, p.run.opts.Share()):
		p.report.Denied++
		p.miss(i, why, "the budget of extra tries is spent")
	default:
		p.report.Retries++
		p.try(i, Retry, why)
	}
}

// join writes a reason and what follows from it.
func join(why, then string) string {
	if why == "" {
		return then
	}
	return why + "; " + then
}

func (p *plan) miss(i int, why, then string) {
	s := &p.shards[i]
	if s.result.Kind == "" {
		s.result = exchange.Result{Kind: upstream.KindNotSent, Detail: join(why, then)}
	}
	p.note(Miss, i, endpoints.Choice{}, then)
	p.stopWaiting(i)
	s.lost = true
	p.lost++
	p.open--
}
