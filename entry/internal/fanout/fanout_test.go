package fanout_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/fanout"
	"guavaspring.org/entry/internal/replica"
)

const ms = time.Millisecond

// table returns a table of shards x 3 replicas that all hold index version 1; the ID of a replica is "shard.copy".
func table(shards int) *replica.Table {
	t := replica.New(replica.Options{})
	var list []platform.Replica
	for i := range shards {
		for k := range 3 {
			list = append(list, platform.Replica{ID: fmt.Sprintf("%d.%d", i, k), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i), byte(k)}), 9000)})
		}
	}
	added, _ := t.Update(list)
	for _, r := range added {
		t.ApplyReply(r, "1="+strings.Split(r.ID, ".")[0]+fmt.Sprintf("/%d", shards), false)
	}
	return t
}

// replyFunc returns the kind of a reply and the delay before it; a negative delay means never.
type replyFunc func(r *replica.Replica) (upstream.Kind, time.Duration)

type fakeSender struct {
	mu       sync.Mutex
	to       []string
	canceled int
}

func (s *fakeSender) send(answer replyFunc) func(ctx context.Context, r *replica.Replica, try upstream.QueryAttempt) upstream.Result {
	return func(ctx context.Context, r *replica.Replica, try upstream.QueryAttempt) upstream.Result {
		s.mu.Lock()
		s.to = append(s.to, r.ID)
		kind, d := answer(r)
		s.mu.Unlock()
		if d < 0 {
			d = time.Hour
		}
		select {
		case <-time.After(d):
			return upstream.Result{Kind: kind, Took: d, Query: upstream.QueryReply{Hits: []upstream.Hit{{ID: r.ID}}}}
		case <-ctx.Done():
			s.mu.Lock()
			s.canceled++
			s.mu.Unlock()
			return upstream.Result{Kind: upstream.KindCanceled}
		}
	}
}

func run(t *testing.T, runner *fanout.Runner, tab *replica.Table, change func(req *fanout.Request)) (fanout.Report, time.Duration) {
	now := time.Now()
	req := fanout.Request{ID: "q", Arrived: now, Deadline: now.Add(100 * ms), Query: caller.Query{Limit: 100}, Document: document.Default(), Map: tab.View().Versions[0]}
	if change != nil {
		change(&req)
	}
	rep := runner.Run(t.Context(), req)
	return rep, time.Since(now)
}

// If a shard never answers, a service that prefers latency responds with the others at its soft deadline, and one that
// prefers coverage waits for the deadline. If no shard has answered at the soft deadline, the response waits for the
// first one, since callers would repeat a query with an empty response. If all shards have failed, the response is sent
// at once.
func TestWhenTheAnswerGoesOut(t *testing.T) {
	late := func(shard string, d time.Duration) replyFunc {
		return func(r *replica.Replica) (upstream.Kind, time.Duration) {
			if strings.HasPrefix(r.ID, shard) {
				return upstream.KindOK, d
			}
			return upstream.KindOK, 5 * ms
		}
	}
	all := func(kind upstream.Kind, d time.Duration) replyFunc {
		return func(*replica.Replica) (upstream.Kind, time.Duration) { return kind, d }
	}
	after := func(d time.Duration) replyFunc {
		return func(r *replica.Replica) (upstream.Kind, time.Duration) {
			return upstream.KindOK, d + time.Duration(r.ID[0]-'0')*ms
		}
	}
	for _, test := range []struct {
		name     string
		prefer   document.Preference
		answer   replyFunc
		want     time.Duration
		answered int
	}{
		{"latency first: the soft deadline", document.PreferLatency, late("2.", -1), 60 * ms, 3},
		{"coverage first: the deadline", document.PreferCoverage, late("2.", -1), 100 * ms, 3},
		{"latency first, nothing yet: the first answer", document.PreferLatency, after(70 * ms), 70 * ms, 1},
		{"all answered", document.PreferCoverage, all(upstream.KindOK, 5*ms), 5 * ms, 4},
		{"all broken: at once", document.PreferCoverage, all(upstream.KindBroken, ms), 3 * ms, 0},
		{"all draining: at once", document.PreferCoverage, all(upstream.KindDraining, ms), 3 * ms, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSender{}
				runner := fanout.New(fanout.Options{Clock: clock.System{}, Send: s.send(test.answer)})
				rep, took := run(t, runner, table(4), func(req *fanout.Request) {
					req.Document.Prefer = test.prefer
					req.Document.Retry.BudgetPercent = 100
				})
				qt.Assert(t, took, qt.Equals, test.want)
				qt.Assert(t, rep.Coverage.Answered, qt.Equals, test.answered)
				qt.Assert(t, rep.Coverage.Missing, qt.HasLen, 4-test.answered)
				qt.Assert(t, rep.RetryAfter > 0, qt.Equals, test.answered < 4)
			})
		})
	}
}

// A failed attempt is retried at the shard's other replicas, once each and never at the same one again, and the
// failures don't affect the other shards.
func TestRetriesGoElsewhere(t *testing.T) {
	for _, kind := range []upstream.Kind{upstream.KindBroken, upstream.KindShed, upstream.KindDraining, upstream.KindError, upstream.KindForeign, upstream.KindNotSent} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSender{}
			runner := fanout.New(fanout.Options{Clock: clock.System{}, Send: s.send(func(r *replica.Replica) (upstream.Kind, time.Duration) {
				if r.ID == "1.2" || strings.HasPrefix(r.ID, "0.") {
					return upstream.KindOK, 5 * ms
				}
				return kind, ms
			})})
			rep, _ := run(t, runner, table(2), nil)
			qt.Assert(t, rep.Coverage.Answered, qt.Equals, 2, qt.Commentf("%s", kind))
			slices.Sort(s.to)
			qt.Assert(t, slices.Compact(slices.Clone(s.to)), qt.DeepEquals, s.to)
		})
	}
}

// If one attempt hangs, a hedge answers in its place, the hanging attempt is canceled so that it frees its slot, and
// the response takes the hedge delay and one reply time. A suspect request is not hedged, since it might crash two
// replicas at once.
func TestSecondTry(t *testing.T) {
	for _, test := range []struct {
		suspect bool
		took    time.Duration
		extra   int
	}{{false, 10 * ms, 1}, {true, 100 * ms, 0}} {
		synctest.Test(t, func(t *testing.T) {
			s, stuck := &fakeSender{}, false
			runner := fanout.New(fanout.Options{Clock: clock.System{}, Send: s.send(func(r *replica.Replica) (upstream.Kind, time.Duration) {
				if stuck && strings.HasPrefix(r.ID, "3.") {
					stuck = false
					return upstream.KindOK, -1
				}
				return upstream.KindOK, 5 * ms
			})})
			tab := table(4)
			for range 30 {
				run(t, runner, tab, nil)
				time.Sleep(5 * ms)
			}
			stuck = true
			rep, took := run(t, runner, tab, func(req *fanout.Request) { req.Suspect = test.suspect })
			synctest.Wait()
			qt.Assert(t, took >= test.took && took < test.took+ms, qt.IsTrue, qt.Commentf("took %v", took))
			qt.Assert(t, rep.Sent-rep.Needed, qt.Equals, test.extra)
			qt.Assert(t, s.canceled, qt.Equals, 1)
			qt.Assert(t, count(rep.Decisions, fanout.WhatHedge), qt.Equals, test.extra)
		})
	}
}

// Two of a shard's three replicas become unresponsive together, and the hedge goes to the second of them. Without a
// third attempt, the shard would be missing from the response although its third replica answers at once.
func TestThirdTryWhereTwoAreSilent(t *testing.T) {
	for first := range 3 {
		synctest.Test(t, func(t *testing.T) {
			s, silent := &fakeSender{}, false
			runner := fanout.New(fanout.Options{Clock: clock.System{}, IntN: func(n int) int { return first % n }, Send: s.send(func(r *replica.Replica) (upstream.Kind, time.Duration) {
				if silent && (r.ID == "3.0" || r.ID == "3.1") {
					return upstream.KindOK, -1
				}
				return upstream.KindOK, 5 * ms
			})})
			tab := table(4)
			for range 30 {
				run(t, runner, tab, nil)
				time.Sleep(5 * ms)
			}
			silent = true
			rep, took := run(t, runner, tab, nil)
			qt.Assert(t, rep.Coverage.Missing, qt.HasLen, 0)
			qt.Assert(t, took < 25*ms, qt.IsTrue, qt.Commentf("took %v", took))
		})
	}
}

func count(list []explain.Decision, what string) int {
	n := 0
	for _, d := range list {
		if d.What == what {
			n++
		}
	}
	return n
}

// BenchmarkRun measures one query over 69 shards x 3 replicas that reply at once. BenchmarkBare is its baseline: the
// goroutines and the channel of a fan-out over 69 shards alone.
func BenchmarkRun(b *testing.B) {
	tab := table(69)
	runner := fanout.New(fanout.Options{Clock: clock.System{}, Send: func(context.Context, *replica.Replica, upstream.QueryAttempt) upstream.Result {
		return upstream.Result{Kind: upstream.KindOK, Holdings: "", Query: upstream.QueryReply{Hits: []upstream.Hit{{ID: "a"}}}}
	}})
	req := fanout.Request{ID: "q", Query: caller.Query{Limit: 20}, Document: document.Default(), Map: tab.View().Versions[0]}
	b.ReportAllocs()
	for b.Loop() {
		req.Arrived = time.Now()
		req.Deadline = req.Arrived.Add(time.Second)
		runner.Run(b.Context(), req)
	}
}

func BenchmarkBare(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		results := make(chan upstream.Result, 69)
		for range 69 {
			go func() {
				results <- upstream.Result{Kind: upstream.KindOK, Query: upstream.QueryReply{Hits: []upstream.Hit{{ID: "a"}}}}
			}()
		}
		for range 69 {
			<-results
		}
	}
}
