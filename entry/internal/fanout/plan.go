package fanout

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/document"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/choice"
	"guavaspring.org/entry/internal/replica"
)

// maxTries bounds the tries of one shard within one plan: the first, a hedge or retry, and one more.
const maxTries = 3

// lostShare is the share of shards lost with their version above which a query that prefers latency is started again; one that prefers coverage is at the first.
const lostShare = 0.1

// plan is one run of a query over the shard map of one version.
type plan struct {
	*query
	vm      replica.VersionMap
	id      string
	ctx     context.Context
	cancel  context.CancelFunc
	shards  []shard
	results chan result
	// open counts the shards that may still answer.
	open int
	// gone counts the shards given up because every replica tried refused the version.
	gone int
	// lost says that so many shards are gone that the query should be started again.
	lost bool
	// holds and split are how a reply's header names the plan's version and number of shards.
	holds, split string
}

type shard struct {
	tried    []*replica.Replica
	inflight int
	closed   bool
	answered bool
	// gone says that a replica refused the version.
	gone bool
	hits []upstream.Hit
}

type result struct {
	shard   int
	replica *replica.Replica
	res     upstream.Result
}

// newPlan sends the first try of every shard; suffix tells the tries of two plans of one query apart.
func newPlan(q *query, vm replica.VersionMap, suffix string) *plan {
	n := len(vm.Holders)
	p := &plan{
		query: q, vm: vm, id: q.req.ID + suffix, shards: make([]shard, n), results: make(chan result, n*maxTries), open: n,
		holds: strconv.FormatInt(vm.Version, 10) + "=", split: "/" + strconv.Itoa(n),
	}
	p.ctx, p.cancel = context.WithCancel(q.ctx)
	for i := range p.shards {
		p.try(i, "route", "")
	}
	return p
}

func (p *plan) try(i int, what, why string) bool {
	s := &p.shards[i]
	if len(s.tried) >= maxTries {
		return false
	}
	r := choice.Pick(p.run.opts.IntN, p.vm.Holders[i], s.tried)
	if r == nil {
		if s.inflight == 0 {
			p.miss(i, nil, strings.TrimPrefix(why+"; no replica is left to try", "; "))
		}
		return false
	}
	s.tried = append(s.tried, r)
	s.inflight++
	p.sent++
	p.decide(what, i, r, why)
	try := upstream.QueryTry{
		ID:      p.id + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(len(s.tried)),
		Version: p.vm.Version, Shard: i, Body: p.body,
	}
	r.Begin()
	go func() {
		res := p.run.opts.Send(p.ctx, r, try)
		r.End(res.Took, res.Kind == upstream.KindOK)
		p.run.opts.Heard(r, p.vm.Version, res)
		p.results <- result{shard: i, replica: r, res: res}
	}()
	return true
}

// collect takes results until no shard can answer, the deadline has passed, or the version is lost.
func (p *plan) collect() {
	for p.open > 0 && !p.lost {
		select {
		case got := <-p.results:
			p.take(got)
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *plan) take(got result) {
	s := &p.shards[got.shard]
	s.inflight--
	if s.closed {
		return
	}
	res := p.checked(got.res)
	if res.Kind == upstream.KindOK {
		s.answered, s.hits = true, res.Query.Hits
		p.close(got.shard)
		return
	}
	s.gone = s.gone || res.Kind == upstream.KindVersionGone
	why := string(res.Kind) + ": " + res.Detail
	if !p.try(got.shard, "retry", why) && s.inflight == 0 && !s.closed {
		p.miss(got.shard, got.replica, why)
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

func (p *plan) miss(i int, r *replica.Replica, why string) {
	p.decide("miss", i, r, why)
	p.close(i)
	if !p.shards[i].gone {
		return
	}
	p.gone++
	share := float64(p.gone) / float64(len(p.shards))
	p.lost = !p.replanned && (p.req.Document.Prefer == document.PreferCoverage || share > lostShare)
}

func (p *plan) close(i int) {
	p.shards[i].closed = true
	p.open--
}

// finish cancels what still runs, so that its replicas can serve others, and names the shards without an answer; why is empty where the time ran out.
func (p *plan) finish(why string) Report {
	if why == "" {
		why = p.ended()
	}
	p.cancel()
	cov := caller.Coverage{Shards: len(p.shards)}
	for i := range p.shards {
		s := &p.shards[i]
		if s.answered {
			cov.Answered++
			continue
		}
		cov.Missing = append(cov.Missing, i)
		if !s.closed {
			p.decide("miss", i, nil, why)
		}
	}
	if cov.Shards > 0 {
		cov.Share = float64(cov.Answered) / float64(cov.Shards)
	}
	return Report{
		Snapshot: caller.Snapshot{Version: p.vm.Version, Shards: len(p.shards)},
		Hits:     merge(p.shards, p.req.Query.Limit), Coverage: cov, Decisions: p.decisions, Sent: p.sent, Needed: len(p.shards),
	}
}

func (p *plan) ended() string {
	if errors.Is(p.ctx.Err(), context.Canceled) {
		return "the caller went away"
	}
	return "the deadline passed"
}
