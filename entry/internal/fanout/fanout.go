package fanout

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/choice"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/replica"
)

// maxTries bounds the tries of one shard within one query: the first, a hedge or retry, and one more.
const maxTries = 3

// Options configures a Runner.
type Options struct {
	// Clock tells the time.
	Clock clock.Clock
	// Send sends one try to a replica and returns how it ended.
	Send func(ctx context.Context, r *replica.Replica, try upstream.QueryTry) upstream.Result
	// Heard is told what each result said of its replica; it may be nil.
	Heard func(r *replica.Replica, res upstream.Result)
	// IntN draws the candidates for each try and must be safe for concurrent use; nil means rand.IntN.
	IntN func(n int) int
}

// Runner runs the queries of one service.
type Runner struct {
	opts Options
}

// New returns a runner; Clock and Send must be set.
func New(opts Options) *Runner {
	if opts.IntN == nil {
		opts.IntN = rand.IntN
	}
	return &Runner{opts: opts}
}

// Request is one query, pinned to the shard map of one version.
type Request struct {
	ID       string
	Arrived  time.Time
	Deadline time.Time
	Query    caller.Query
	Document document.Document
	Map      replica.VersionMap
}

// Report is what a query came to, with the decisions taken on the way.
type Report struct {
	Hits      []caller.Hit
	Coverage  caller.Coverage
	Decisions []explain.Decision
	// Sent counts the tries sent upstream; Needed is what a run without hedges and retries sends.
	Sent, Needed int
}

// Run sends the query to every shard and returns when all have answered or the deadline has passed.
func (run *Runner) Run(ctx context.Context, req Request) Report {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	body, err := json.Marshal(upstream.Query{Query: req.Query.Query, Limit: req.Query.Limit})
	if err != nil {
		panic("fanout: a query of two plain fields can't be encoded: " + err.Error())
	}
	n := len(req.Map.Holders)
	q := &query{run: run, req: req, ctx: ctx, body: body, shards: make([]shard, n), results: make(chan result, n*maxTries), open: n}
	q.report.Needed = n
	for i := range q.shards {
		q.try(i, "route", "")
	}
	q.collect()
	return q.finish()
}

// query is the state of one run, owned by the goroutine that called Run.
type query struct {
	run     *Runner
	req     Request
	ctx     context.Context
	body    []byte
	shards  []shard
	results chan result
	// open counts the shards that may still answer.
	open   int
	report Report
}

type shard struct {
	tried    []*replica.Replica
	inflight int
	closed   bool
	answered bool
	hits     []upstream.Hit
}

type result struct {
	shard   int
	replica *replica.Replica
	res     upstream.Result
}

func (q *query) try(i int, what, why string) bool {
	s := &q.shards[i]
	if len(s.tried) >= maxTries {
		return false
	}
	r := choice.Pick(q.run.opts.IntN, q.req.Map.Holders[i], s.tried)
	if r == nil {
		if s.inflight == 0 {
			q.decide("miss", i, nil, "no replica is left to try")
			q.close(i)
		}
		return false
	}
	s.tried = append(s.tried, r)
	s.inflight++
	q.report.Sent++
	q.decide(what, i, r, why)
	try := upstream.QueryTry{
		ID:      q.req.ID + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(len(s.tried)),
		Version: q.req.Map.Version, Shard: i, Body: q.body,
	}
	r.Begin()
	go func() {
		res := q.run.opts.Send(q.ctx, r, try)
		r.End(res.Took, res.Kind == upstream.KindOK)
		if q.run.opts.Heard != nil {
			q.run.opts.Heard(r, res)
		}
		q.results <- result{shard: i, replica: r, res: res}
	}()
	return true
}

func (q *query) collect() {
	for q.open > 0 {
		select {
		case got := <-q.results:
			q.take(got)
		case <-q.ctx.Done():
			return
		}
	}
}

func (q *query) take(got result) {
	s := &q.shards[got.shard]
	s.inflight--
	if s.closed {
		return
	}
	if got.res.Kind == upstream.KindOK {
		s.answered, s.hits = true, got.res.Query.Hits
		q.close(got.shard)
		return
	}
	why := string(got.res.Kind) + ": " + got.res.Detail
	if !q.try(got.shard, "retry", why) && s.inflight == 0 && !s.closed {
		q.decide("miss", got.shard, got.replica, why)
		q.close(got.shard)
	}
}

func (q *query) close(i int) {
	q.shards[i].closed = true
	q.open--
}

func (q *query) decide(what string, shard int, r *replica.Replica, why string) {
	d := explain.Decision{AtMS: millis(q.run.opts.Clock.Now().Sub(q.req.Arrived)), What: what, Shard: shard, Why: why}
	if r != nil {
		d.Replica = r.ID
	}
	q.report.Decisions = append(q.report.Decisions, d)
}

func (q *query) finish() Report {
	cov := caller.Coverage{Shards: len(q.shards)}
	hits := []caller.Hit{}
	for i := range q.shards {
		s := &q.shards[i]
		if !s.answered {
			cov.Missing = append(cov.Missing, i)
			if !s.closed {
				q.decide("miss", i, nil, "the deadline passed")
			}
			continue
		}
		cov.Answered++
		for _, h := range s.hits {
			hits = append(hits, caller.Hit{ID: h.ID, Score: h.Score, Shard: i, Data: h.Data})
		}
	}
	if cov.Shards > 0 {
		cov.Share = float64(cov.Answered) / float64(cov.Shards)
	}
	slices.SortFunc(hits, func(a, b caller.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	q.report.Hits = hits[:min(len(hits), q.req.Query.Limit)]
	q.report.Coverage = cov
	return q.report
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
