package fanout_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/fanout"
	"guavaspring.org/entry/internal/replica"
)

// A crash of one replica of each shard breaks the attempts of twelve queries at once, and new connections are refused
// for some milliseconds more. Every shard has two healthy replicas left, but forty attempts fail at once and the retry
// budget holds ten, so charging them all to the budget would leave shards missing from the responses.
func TestCrashSpendsNoRetryBudget(t *testing.T) {
	for _, kind := range []upstream.Kind{upstream.KindBroken, upstream.KindNotSent} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSender{}
			runner := fanout.New(fanout.Options{Clock: clock.System{}, Send: s.send(func(r *replica.Replica) (upstream.Kind, time.Duration) {
				if strings.HasSuffix(r.ID, ".0") {
					return kind, 5 * ms
				}
				return upstream.KindOK, 10 * ms
			})})
			tab := table(10)
			for _, r := range holders(tab) {
				for range 20 {
					r.Limit.RecordReply(time.Now(), r.Limit.MaxInFlight(), 20, 0)
				}
			}
			var wg sync.WaitGroup
			for range 12 {
				wg.Go(func() {
					rep, _ := run(t, runner, tab, nil)
					qt.Check(t, rep.Coverage.Missing, qt.HasLen, 0, qt.Commentf("%s: %v", kind, rep.Decisions))
				})
			}
			wg.Wait()
		})
	}
}

// Every replica breaks its attempts, as in an overload in which all fail after the work is done. Retries without a
// budget would double the load for as long as the overload lasts.
func TestBreaksOfEveryReplicaAreNotSentAgainForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{}
		runner := fanout.New(fanout.Options{Clock: clock.System{}, Send: s.send(func(*replica.Replica) (upstream.Kind, time.Duration) {
			return upstream.KindBroken, ms
		})})
		tab := table(4)
		sends, needed := 0, 0
		for range 200 {
			rep, _ := run(t, runner, tab, func(req *fanout.Request) { req.Document.Retry.BudgetPercent = 1 })
			for _, d := range rep.Decisions {
				if d.What == fanout.WhatRetry {
					sends++
				}
			}
			needed += rep.Needed
		}
		qt.Assert(t, needed, qt.Equals, 800)
		// The budget's burst of ten, one percent of 800, and at most three strikes for each of twelve replicas.
		qt.Assert(t, sends <= 10+8+3*12, qt.IsTrue, qt.Commentf("%d retries", sends))
	})
}

// holders returns the replicas of all shards.
func holders(tab *replica.Table) []*replica.Replica {
	var list []*replica.Replica
	for _, h := range tab.View().Versions[0].Holders {
		list = append(list, h...)
	}
	return list
}
