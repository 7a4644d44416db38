package drive

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/arrivals"
	"guavaspring.org/load/internal/check"
	"guavaspring.org/load/internal/hosts"
	"guavaspring.org/load/internal/measure"
)

func (d *Driver) sendQueries(ctx context.Context) {
	sc := d.opts.Scene
	arrive := arrivals.New(sc.Rate, d.opts.Seed)
	rnd := rand.New(rand.NewPCG(d.opts.Seed, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		at := arrive.Next()
		if at > sc.Duration.Std() || !sleepUntil(ctx, d.start.Add(at)) {
			return
		}
		from, hot := d.pickCaller(rnd)
		wg.Go(func() { d.query(ctx, from, hot, n, at) })
	}
}

// pickCaller picks the caller of the next query at random; hot is set for the caller with the hot share.
func (d *Driver) pickCaller(rnd *rand.Rand) (c *hosts.Caller, hot bool) {
	if len(d.callers) == 1 {
		return d.callers[0], true
	}
	if d.opts.Scene.HotShare > 0 && rnd.Float64() < d.opts.Scene.HotShare {
		return d.callers[0], true
	}
	return d.callers[1+rnd.IntN(len(d.callers)-1)], false
}

func (d *Driver) query(ctx context.Context, from *hosts.Caller, hot bool, n int, at time.Duration) {
	sc := d.opts.Scene
	request := check.Request{
		RequestID: fmt.Sprintf("%s-q%d", d.opts.Run, n), Service: sc.Service,
		Query: fmt.Sprintf("%s question %d", d.opts.Run, n), Limit: sc.Limit,
	}
	due := d.start.Add(at)
	ctx, cancel := context.WithDeadline(ctx, due.Add(sc.Deadline.Std()+grace))
	defer cancel()
	res := from.Query(ctx, hosts.QueryRequest{
		Service: sc.Service, ID: request.RequestID, Deadline: due.Add(sc.Deadline.Std()),
		Query: caller.Query{Query: request.Query, Limit: sc.Limit}, Retry: sc.RetryRefused,
	})
	now := time.Now()
	s := measure.Sample{At: at, Took: now.Sub(due), Refusal: res.Refusal, Hot: hot, Outcome: measure.OutcomeError}
	s.Late = s.Took > sc.Deadline.Std()+lateTolerance
	if res.Err == nil {
		s.Outcome, s.Share, s.Shards = res.Answer.Outcome, res.Answer.Coverage.Share, res.Answer.Snapshot.Shards
	}
	d.recordQuery(s, request, res)
}

const (
	// grace is the time after the deadline within which a caller still accepts an answer that the host cut off at the
	// deadline.
	grace = 300 * time.Millisecond
	// lateTolerance is the tolerance after the deadline for an answer to count as in time. It covers the network and
	// scheduling delay of the response.
	lateTolerance = 15 * time.Millisecond
)

func (d *Driver) recordQuery(s measure.Sample, request check.Request, res hosts.QueryResult) {
	var violations []check.Violation
	if res.Err == nil {
		violations = check.Answer(request, res.Answer)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, s)
	d.violations = append(d.violations, violations...)
	switch {
	case res.Err != nil:
		d.queryReasons["error: "+withoutIDs(res.Err.Error(), request)]++
		return
	case s.Outcome == caller.OutcomeRefused:
		d.queryReasons["refused: "+res.Answer.Reason]++
		return
	}
	d.needed += s.Shards
	d.worst = append(d.worst, scored{answer: res.Answer, score: (1-s.Share)*1000 + s.Took.Seconds()})
	slices.SortFunc(d.worst, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	d.worst = d.worst[:min(len(d.worst), maxWorst)]
}

// sendPoison sends a query that crashes its replicas repeatedly, each time as a new request. The text contains the name
// of the run because a quarantine outlasts a run: the next run with the same text would see no crash.
func (d *Driver) sendPoison(ctx context.Context) {
	p := d.opts.Scene.Poison
	for n := range p.Times {
		at := p.At.Std() + time.Duration(n)*p.Every.Std()
		if !sleepUntil(ctx, d.start.Add(at)) {
			return
		}
		deadline := time.Now().Add(d.opts.Scene.Deadline.Std())
		askCtx, cancel := context.WithDeadline(ctx, deadline.Add(grace))
		// The result is ignored: only the effect on other queries is measured.
		_ = d.callers[n%len(d.callers)].Query(askCtx, hosts.QueryRequest{
			Service: d.opts.Scene.Service, ID: fmt.Sprintf("%s-poison%d", d.opts.Run, n), Deadline: deadline,
			Query: caller.Query{Query: p.Text + " of " + d.opts.Run, Limit: d.opts.Scene.Limit},
		})
		cancel()
	}
}

// withoutIDs replaces the request id, so that equal errors of different requests are counted together.
func withoutIDs(text string, request check.Request) string {
	return strings.ReplaceAll(text, request.RequestID, "ID")
}
