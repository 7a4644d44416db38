package fanout

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/document"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/choice"
	"guavaspring.org/entry/internal/eject"
	"guavaspring.org/entry/internal/replica"
)

const (
	// maxTries bounds the tries of one shard within one plan: the first, a hedge or retry, and one more.
	maxTries = 3
	// lostShare is the share of shards lost with their version above which a query that prefers latency is started again; one that prefers coverage is at the first.
	lostShare = 0.1
	// lookAgain is how soon a shard whose replicas are all at their limit looks for a free one, as one part of the usual reply time. Where all of them have shed it, each further look comes after twice the time.
	lookAgain = 4
	// mostRounds bounds the doubling.
	mostRounds = 5
	// shortestLook and longestLook bound that time.
	shortestLook = 250 * time.Microsecond
	longestLook  = 5 * time.Millisecond
)

// plan is one run of a query over the shard map of one version.
type plan struct {
	*query
	vm      replica.VersionMap
	id      string
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	shards  []shard
	results chan *result
	// open counts the shards that may still answer, answered those that have, waiting those that look for a free replica.
	open, answered, waiting int
	// took is the sum of the times of the tries that answered.
	took time.Duration
	// gone counts the shards given up because every replica tried refused the version.
	gone int
	// lost says that so many shards are gone that the query should be started again.
	lost bool
	// busy says that a shard was given up since its replicas were full.
	busy bool
	// crowded says that shards were late at the last look and got no second try.
	crowded bool
	// soft says that the soft deadline has passed, and that the first answer ends the plan.
	soft bool
	// holds and split are how a reply's header names the plan's version and number of shards.
	holds, split string

	// hedgeAt and lookAt are when late and waiting shards are looked at next; zero means never.
	hedgeAt, lookAt time.Time
	wake            <-chan time.Time
	wakeAt          time.Time
}

type shard struct {
	tries    [maxTries]*replica.Replica
	began    [maxTries]time.Time
	ended    [maxTries]bool
	n        int
	inflight int
	// sent counts the tries ever sent, which n doesn't once replicas that shed are asked again.
	sent int
	// rounds counts how often all replicas left have shed the shard, and next is when it looks again.
	rounds int
	next   time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// wait is the decision that waits for a free replica, empty where none does, and why its reason.
	wait, why string
	closed    bool
	answered  bool
	// gone says that a replica refused the version, shed that one was full, refused that the last failure was a refusal.
	gone, shed, refused bool
	hits                []upstream.Hit
}

func (s *shard) tried() []*replica.Replica { return s.tries[:s.n] }

// result is the end of try k of a shard; a trial has none of its own.
type result struct {
	shard, k int
	replica  *replica.Replica
	res      upstream.Result
	took     time.Duration
}

const trial = -1

// newPlan sends the first try of every shard; suffix tells the tries of two plans of one query apart.
func newPlan(q *query, vm replica.VersionMap, suffix string) *plan {
	n := len(vm.Holders)
	p := &plan{
		query: q, vm: vm, id: q.req.ID + suffix, began: q.now, shards: make([]shard, n), results: make(chan *result, n*(maxTries+1)), open: n,
		holds: strconv.FormatInt(vm.Version, 10) + "=", split: "/" + strconv.Itoa(n),
	}
	p.ctx, p.cancel = context.WithCancel(q.ctx)
	if delay := q.run.policy.Delay(); delay > 0 && !q.req.Suspect && q.req.Document.Hedge.BudgetPercent > 0 {
		p.hedgeAt = q.now.Add(delay)
	}
	for i := range p.shards {
		p.try(i, WhatRoute, "")
		p.trial(i)
	}
	return p
}

// try sends one more try of a shard where a replica is free, waits where one may become free, and gives the shard up where none is left.
func (p *plan) try(i int, what, why string) {
	s := &p.shards[i]
	r, verdict := choice.Pick(p.run.opts.IntN, p.now, p.vm.Holders[i], s.tried())
	switch {
	case verdict == choice.None && s.inflight == 0 && s.shed:
		p.again(i, why)
	case verdict == choice.None && s.inflight == 0:
		p.miss(i, nil, join(why, "no replica is left to try"))
	case verdict == choice.Busy && s.inflight == 0:
		p.hold(i, what, why)
	case verdict == choice.Found && what == WhatRetry && !p.mayRetry(s):
		if s.inflight == 0 {
			p.miss(i, r, join(why, "the retry budget is spent"))
		}
	case verdict == choice.Found:
		p.send(i, r, what, why)
	}
}

// mayRetry takes from the retry budget. Refusals are free: a replica that refused did no work. One that
// leaves, or has lost the version, can't refuse again; and one that sheds sets the pace itself by the limit.
func (p *plan) mayRetry(s *shard) bool {
	return s.refused || p.run.retries.Take()
}

// again lets a shard that every replica has shed ask them once more, later.
//
// It answers slots that many hosts share. Five slots that are used at sixty percent refuse one try in nine by
// chance alone, and one host sees too little of the load to know which. A shard given up for that is a hole in
// a page that a wait of a few milliseconds would have filled.
func (p *plan) again(i int, why string) {
	s := &p.shards[i]
	s.n, s.shed = 0, false
	s.next = p.now.Add(p.pause() << min(s.rounds, mostRounds))
	s.rounds++
	p.hold(i, WhatRetry, why)
}

func (p *plan) pause() time.Duration {
	return min(max(p.run.policy.Median()/lookAgain, shortestLook), longestLook)
}

// hold makes a shard wait for a free replica while an answer can still come in time.
//
// It answers a burst that is larger than what the replicas run at once. Giving the shard up at once thins
// pages that a wait of a few milliseconds would fill; sending anyway is shed, and then sent again. The wait
// ends as soon as what is left of the deadline is less than a reply usually takes.
func (p *plan) hold(i int, what, why string) {
	s := &p.shards[i]
	if !p.timeLeft() {
		p.busy = true
		p.miss(i, nil, join(why, "every replica is at its limit"))
		return
	}
	if s.wait == "" {
		s.wait, s.why = what, why
		p.waiting++
		p.decide(WhatWait, i, nil, join(why, "every replica is at its limit"))
	}
	next := s.next
	if !next.After(p.now) {
		next = p.now.Add(p.pause())
	}
	p.lookAt = earliest(p.lookAt, next)
}

func (p *plan) release(s *shard) {
	if s.wait != "" {
		s.wait, s.why = "", ""
		p.waiting--
	}
}

// timeLeft reports whether a try sent now would usually be answered in time.
func (p *plan) timeLeft() bool {
	return p.now.Add(p.run.policy.Median()).Before(p.req.Deadline)
}

func (p *plan) send(i int, r *replica.Replica, what, why string) {
	s := &p.shards[i]
	p.release(s)
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancel(p.ctx)
	}
	k := s.n
	s.tries[k], s.began[k] = r, p.now
	s.n++
	s.sent++
	s.inflight++
	p.decide(what, i, r, why)
	p.start(s.ctx, i, k, s.sent, r)
}

// trial sends a single try to a replica that is out, beside the ordinary one and outliving the query, so that no page waits for it.
func (p *plan) trial(i int) {
	if p.req.Suspect {
		return
	}
	r := choice.Trial(p.now, p.vm.Holders[i])
	if r == nil || p.shards[i].n == 0 || r == p.shards[i].tries[0] {
		return
	}
	p.decide(WhatTrial, i, r, "a single try to see whether it can be used")
	p.start(context.WithoutCancel(p.ctx), i, trial, 0, r)
}

// start sends try k of shard i, the nth ever sent.
func (p *plan) start(ctx context.Context, i, k, nth int, r *replica.Replica) {
	p.sent++
	try := upstream.QueryTry{
		ID:      p.id + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(nth),
		Version: p.vm.Version, Shard: i, Body: p.body, Patient: nth > 1,
	}
	began := p.now
	r.Begin(began)
	go func() {
		if k == trial {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, p.req.Deadline)
			defer cancel()
		}
		res := p.run.opts.Send(ctx, r, try)
		took := p.run.end(r, began, p.slots, res)
		p.run.opts.Heard(r, p.vm.Version, res)
		if k == trial {
			p.run.judgeTrial(r, res, took)
		}
		p.results <- &result{shard: i, k: k, replica: r, res: res, took: took}
	}()
}

// collect takes results until no shard can answer, the time is up, or the version is lost.
func (p *plan) collect() {
	for p.open > 0 && !p.lost && (!p.soft || p.answered == 0) {
		select {
		case got := <-p.results:
			p.now = p.run.opts.Clock.Now()
			p.take(got)
			p.drain()
		case <-p.alarm():
			p.wake = nil
			p.now = p.run.opts.Clock.Now()
			p.tick()
		case <-p.ctx.Done():
			p.now = p.run.opts.Clock.Now()
			return
		}
	}
}

// drain takes the results that have come meanwhile, without reading the clock and the timers for each.
func (p *plan) drain() {
	for p.open > 0 && !p.lost {
		select {
		case got := <-p.results:
			p.take(got)
		default:
			return
		}
	}
}

// alarm returns a channel that receives when there is something to look at.
func (p *plan) alarm() <-chan time.Time {
	next := earliest(p.hedgeAt, p.lookAt)
	if p.req.Document.Prefer == document.PreferLatency && !p.soft {
		next = earliest(next, p.softAt())
	}
	if next.IsZero() {
		return nil
	}
	if p.wake == nil || next.Before(p.wakeAt) {
		p.wake, p.wakeAt = p.run.opts.Clock.After(next.Sub(p.now)), next
	}
	return p.wake
}

func (p *plan) softAt() time.Time { return p.req.Arrived.Add(p.req.Document.Deadline.Soft.Std()) }

func (p *plan) tick() {
	if p.req.Document.Prefer == document.PreferLatency && !p.now.Before(p.softAt()) {
		p.soft = true
	}
	if !p.lookAt.IsZero() && !p.now.Before(p.lookAt) {
		p.lookAt = time.Time{}
		p.look()
	}
	if !p.hedgeAt.IsZero() && !p.now.Before(p.hedgeAt) {
		p.hedge()
	}
}

func (p *plan) look() {
	if p.waiting == 0 {
		return
	}
	for i := range p.shards {
		s := &p.shards[i]
		switch {
		case s.wait == "" || s.closed:
		case s.next.After(p.now):
			p.hold(i, s.wait, s.why)
		default:
			p.try(i, s.wait, s.why)
		}
	}
}

// hedge sends a second try of each shard that is late, where the policy and the budget allow it and a replica is free that is not itself late.
func (p *plan) hedge() {
	delay := p.run.policy.Delay()
	p.hedgeAt = p.now.Add(delay)
	late := 0
	for i := range p.shards {
		if p.shards[i].late(p.now, delay) {
			late++
		}
	}
	again := p.crowded
	p.crowded = late > 0
	if late == 0 || !p.run.policy.Allow(late, p.answered, len(p.shards), again) {
		return
	}
	for i := range p.shards {
		if p.shards[i].late(p.now, delay) {
			p.second(i, delay)
		}
	}
}

// late reports whether the shard's last try has run for the delay, or for twice the delay where it was sent beside another: the second replica may have gone silent with the first.
func (s *shard) late(now time.Time, delay time.Duration) bool {
	if s.closed || s.inflight == 0 || s.n >= maxTries {
		return false
	}
	return now.Sub(s.began[s.n-1]) >= delay<<(s.inflight-1)
}

func (p *plan) second(i int, delay time.Duration) {
	s := &p.shards[i]
	r, verdict := choice.Pick(p.run.opts.IntN, p.now, p.vm.Holders[i], s.tried())
	if verdict != choice.Found || !r.Eject.In() || !p.timeLeft() {
		return
	}
	if est, _ := r.Estimate(p.now); est > delay || !p.run.hedges.Take() {
		return
	}
	p.send(i, r, WhatHedge, "no answer after "+delay.String())
}

func (p *plan) take(got *result) {
	s := &p.shards[got.shard]
	if got.k != trial {
		s.inflight--
		s.ended[got.k] = true
		p.judge(got)
	}
	if s.closed {
		return
	}
	res := p.checked(got.res)
	if res.Kind == upstream.KindOK {
		s.answered, s.hits = true, res.Query.Hits
		p.answered++
		p.took += got.took
		p.run.opts.Answered(p.now.Sub(p.began))
		p.beaten(got)
		p.close(got.shard)
		return
	}
	if got.k != trial && !s.closed {
		p.failed(got.shard, got.replica, res)
	}
}

// failed tries the shard again at another replica, or gives it up at once where that can't help.
func (p *plan) failed(i int, r *replica.Replica, res upstream.Result) {
	s := &p.shards[i]
	s.gone = s.gone || res.Kind == upstream.KindVersionGone
	s.shed = s.shed || res.Kind == upstream.KindShed
	s.refused = res.Kind == upstream.KindVersionGone || res.Kind == upstream.KindShed || res.Kind == upstream.KindDraining
	why := join(string(res.Kind), res.Detail)
	switch {
	case s.inflight > 0 && s.n > 1:
		// A second try is on its way already.
	case s.n >= maxTries && s.inflight > 0:
	case s.n >= maxTries && s.shed:
		p.again(i, why)
	case s.n >= maxTries:
		p.miss(i, r, join(why, "three tries failed"))
	case p.req.Suspect && !res.Kind.NotRun():
		p.miss(i, r, join(why, "the request may be the cause, and isn't sent again"))
	case !p.timeLeft():
		p.miss(i, r, join(why, "too little time is left for another try"))
	default:
		p.try(i, WhatRetry, why)
	}
}

// checked turns a reply of another shard map into a foreign one. A replica that was split again under the
// same version number would otherwise bring hits of another cut into the answer: some items twice, some never.
func (p *plan) checked(res upstream.Result) upstream.Result {
	if res.Kind != upstream.KindOK {
		return res
	}
	for rest := res.Holdings; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		if strings.HasPrefix(part, p.holds) && !strings.HasSuffix(part, p.split) {
			res.Kind, res.Detail = upstream.KindForeign, "the replica holds "+part+", not a map of "+p.split[1:]+" shards"
			return res
		}
	}
	return res
}

// judge compares a try that ended, or that is given up, with its neighbours.
func (p *plan) judge(got *result) {
	switch got.res.Kind {
	case upstream.KindOK, upstream.KindCanceled:
		p.run.judge(got, p.usual(), p.vm.Holders[got.shard], p.now)
	case upstream.KindBroken, upstream.KindForeign, upstream.KindError, upstream.KindNotSent:
		p.run.strike(got.replica, p.now, got.res.Detail)
	}
}

// usual returns the time that the tries of this query take, so that a long query is not held against its replicas; before enough of them have answered it is the service's usual time.
func (p *plan) usual() time.Duration {
	if p.answered < 2 || 2*p.answered < len(p.shards) {
		return p.run.policy.Median()
	}
	return p.took / time.Duration(p.answered)
}

func (p *plan) miss(i int, r *replica.Replica, why string) {
	p.decide(WhatMiss, i, r, why)
	p.close(i)
	if !p.shards[i].gone {
		return
	}
	p.gone++
	share := float64(p.gone) / float64(len(p.shards))
	p.lost = !p.replanned && (p.req.Document.Prefer == document.PreferCoverage || share > lostShare)
}

// close ends a shard and cancels what of it still runs, so that its replicas can serve others.
func (p *plan) close(i int) {
	s := &p.shards[i]
	p.release(s)
	s.closed = true
	p.open--
	if s.inflight == 0 {
		return
	}
	p.judgeRunning(i)
	s.cancel()
}

// beaten counts a strike against each replica that a later try was quicker than. Its own try is given up long
// before it could be called slow by its age, so without this a slow replica would lose one race after another
// and stay in use, each time at the cost of somebody's wait.
func (p *plan) beaten(got *result) {
	s := &p.shards[got.shard]
	for k := range got.k {
		if !s.ended[k] {
			s.ended[k] = true
			p.run.strike(s.tries[k], p.now, "a second try was quicker, though sent later")
		}
	}
}

// judgeRunning holds the age of the shard's running tries against their replicas.
func (p *plan) judgeRunning(i int) {
	s := &p.shards[i]
	for k := range s.n {
		if !s.ended[k] {
			s.ended[k] = true
			age := p.now.Sub(s.began[k])
			p.run.judge(&result{shard: i, replica: s.tries[k], res: upstream.Result{Kind: upstream.KindCanceled}, took: age}, p.usual(), p.vm.Holders[i], p.now)
		}
	}
}

// finish cancels what still runs and names the shards without an answer; why is empty where the time ran out.
func (p *plan) finish(why string) Report {
	if why == "" {
		why = p.ended()
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
			p.decide(WhatMiss, i, nil, join(s.wait, why))
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

func (p *plan) ended() string {
	switch {
	case errors.Is(p.ctx.Err(), context.Canceled):
		return "the caller went away"
	case p.soft:
		return "the soft deadline passed"
	default:
		return "the deadline passed"
	}
}

const (
	// retryBusy is when to come back where replicas were full: a few reply times later the burst is over or the host refuses on entry.
	retryBusy = 50 * time.Millisecond
	// retryLost is when to come back where replicas failed: the host takes a failing replica out within a few tries, and looks at it again after a second.
	retryLost = 500 * time.Millisecond
)

func (p *plan) retryAfter(cov caller.Coverage) time.Duration {
	switch {
	case cov.Answered == cov.Shards:
		return 0
	case p.busy:
		return retryBusy
	default:
		return retryLost
	}
}

// join writes a reason and what follows from it.
func join(why, then string) string {
	if why == "" || then == "" {
		return why + then
	}
	return why + ": " + then
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// slowOf reports whether a try that took so long was slow beside the query's other shards, and whether another replica of the shard would have been quicker. Without the second, a shard that is slow at every replica would lose all of them.
func slowOf(r *replica.Replica, took, usual time.Duration, holders []*replica.Replica, now time.Time) bool {
	if !eject.Slow(took, usual) {
		return false
	}
	for _, other := range holders {
		if other == r || !other.Eject.In() || other.Draining() {
			continue
		}
		if est, _ := other.Estimate(now); est > 0 && eject.Slow(took, est) {
			return true
		}
	}
	return false
}
