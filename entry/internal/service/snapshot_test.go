package service_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/document"
	"guavaspring.org/entry/internal/service"
)

const snapshotSeeds = 1000

// Queries run while index versions are published, repartitioned and dropped, and replicas crash, restart and disagree
// on the number of shards. Each result must hold hits of one version and one partitioning only, and name exactly the
// missing shards. If a late attempt reaches a replica that has changed its version, a result could mix two versions or
// hold a document twice.
func TestOneSnapshotThroughVersionMoves(t *testing.T) {
	t.Parallel()
	var total outcomeCounts
	for seed := range uint64(snapshotSeeds) {
		synctest.Test(t, func(t *testing.T) { total.add(runVersionChanges(t, seed)) })
	}
	t.Logf("%d answers: %d complete, %d partial, %d failed, %d refused, %d replanned", total.answers, total.complete, total.partial, total.failed, total.refused, total.replanned)
	qt.Assert(t, total.complete > total.answers/2, qt.IsTrue)
	qt.Assert(t, total.partial > 0 && total.replanned > 0, qt.IsTrue)
}

type outcomeCounts struct {
	answers, complete, partial, failed, refused, replanned int
}

func (c *outcomeCounts) add(other outcomeCounts) {
	c.answers += other.answers
	c.complete += other.complete
	c.partial += other.partial
	c.failed += other.failed
	c.refused += other.refused
	c.replanned += other.replanned
}

func runVersionChanges(t *testing.T, seed uint64) outcomeCounts {
	const queries, apart = 12, 2 * time.Millisecond
	f := newFleet(seed, 4, 3)
	doc := document.Default()
	doc.Service = "remnant-finder"
	if seed%2 == 0 {
		doc.Prefer = document.PreferLatency
	}
	s := newFleetService(f, doc)
	s.Update(t.Context(), f.list())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var count outcomeCounts
	for i := range queries {
		wg.Go(func() {
			ans := ask(t.Context(), s, fmt.Sprintf("q%d", i))
			mu.Lock()
			defer mu.Unlock()
			count.record(ans)
			if err := checkAnswer(ans, fmt.Sprintf("q%d", i)); err != nil {
				t.Errorf("seed %d, query %d: %v", seed, i, err)
			}
		})
		for range 4 {
			time.Sleep(apart / 4)
			f.step()
		}
		if i%3 == 0 {
			s.Update(t.Context(), f.list())
		}
	}
	wg.Wait()
	// Probes of ejected replicas outlive their query, up to its deadline.
	time.Sleep(time.Second)
	return count
}

func ask(ctx context.Context, s *service.Service, text string) caller.Answer {
	now := time.Now()
	deadline := now.Add(100 * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return s.Query(ctx, service.QueryRequest{
		ID: "reused", Caller: "quilter", Arrived: now, Deadline: deadline, Query: caller.Query{Query: text, Limit: 1000},
	})
}

func (c *outcomeCounts) record(ans caller.Answer) {
	c.answers++
	switch ans.Outcome {
	case caller.OutcomeComplete:
		c.complete++
	case caller.OutcomePartial:
		c.partial++
	case caller.OutcomeRefused:
		c.refused++
	default:
		c.failed++
	}
	if strings.Contains(ans.Reason, "started again") {
		c.replanned++
	}
}

// checkAnswer compares the coverage of an answer with its hits; each shard that answers returns one hit.
func checkAnswer(ans caller.Answer, text string) error {
	answered := map[int]bool{}
	for _, h := range ans.Hits {
		want := fmt.Sprintf("%d/%d/%d", ans.Snapshot.Version, h.Shard, ans.Snapshot.Shards)
		if h.ID != want {
			return fmt.Errorf("hit is of %s (version/shard/shards), want %s", h.ID, want)
		}
		if answered[h.Shard] {
			return fmt.Errorf("shard %d has more than one hit", h.Shard)
		}
		if !strings.Contains(string(h.Data), text) {
			return fmt.Errorf("hit belongs to another request: %s", h.Data)
		}
		answered[h.Shard] = true
	}
	if len(answered) != ans.Coverage.Answered || ans.Coverage.Shards != ans.Snapshot.Shards {
		return fmt.Errorf("coverage says %d of %d, hits come from %d of %d", ans.Coverage.Answered, ans.Coverage.Shards, len(answered), ans.Snapshot.Shards)
	}
	missing := map[int]bool{}
	for _, i := range ans.Coverage.Missing {
		missing[i] = true
	}
	for i := range ans.Coverage.Shards {
		if missing[i] == answered[i] {
			return fmt.Errorf("shard %d: missing %v, answered %v", i, missing[i], answered[i])
		}
	}
	return nil
}
