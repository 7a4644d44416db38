package check

import (
	"encoding/json"
	"fmt"
	"slices"

	"guavaspring.org/core/caller"
)

// hitsPerShard is how many hits the stand-in gives for each shard when the limit allows it.
const hitsPerShard = 3

// Kind names a way in which an answer is untrue.
type Kind string

// The ways in which an answer or a write can be untrue.
const (
	// MixedSnapshots means that hits come from another version or shard map than the answer names.
	MixedSnapshots Kind = "mixed_snapshots"
	// FalseCoverage means that what the answer says it covers is not what its hits show.
	FalseCoverage Kind = "false_coverage"
	// ForeignAnswer means that the answer, or part of it, belongs to another request.
	ForeignAnswer Kind = "foreign_answer"
	// RanTwice means that a write took effect more than once.
	RanTwice Kind = "ran_twice"
	// FalseNotRun means that a write was said not to have run, and ran.
	FalseNotRun Kind = "false_not_run"
	// FalseDone means that a write was said to be done, and did not run.
	FalseDone Kind = "false_done"
)

// Lie is one untruth found.
type Lie struct {
	Kind   Kind   `json:"kind"`
	Detail string `json:"detail"`
}

// Asked is what the answer has to fit.
type Asked struct {
	RequestID string
	Service   string
	Query     string
	Limit     int
}

// Answer returns every untruth in ans, none where nothing was sent upstream.
func Answer(asked Asked, ans caller.Answer) []Lie {
	c := &checker{asked: asked, ans: ans}
	if ans.RequestID != asked.RequestID || ans.Service != asked.Service {
		c.lie(ForeignAnswer, "the answer is for request %q of %q", ans.RequestID, ans.Service)
	}
	if ans.Outcome == caller.OutcomeRefused {
		return c.lies
	}
	c.coverage()
	c.hits()
	return c.lies
}

type checker struct {
	asked Asked
	ans   caller.Answer
	lies  []Lie
}

func (c *checker) lie(kind Kind, format string, args ...any) {
	detail := fmt.Sprintf("request %s, explanation %s: ", c.asked.RequestID, c.ans.ExplanationID)
	c.lies = append(c.lies, Lie{Kind: kind, Detail: detail + fmt.Sprintf(format, args...)})
}

func (c *checker) coverage() {
	cov, snap := c.ans.Coverage, c.ans.Snapshot
	if cov.Shards != snap.Shards || cov.Answered+len(cov.Missing) != cov.Shards {
		c.lie(FalseCoverage, "%d answered and %d missing of %d, snapshot of %d", cov.Answered, len(cov.Missing), cov.Shards, snap.Shards)
	}
	for i, s := range cov.Missing {
		if s < 0 || s >= cov.Shards || slices.Contains(cov.Missing[:i], s) {
			c.lie(FalseCoverage, "missing shard %d of %d is not a shard or named twice", s, cov.Shards)
		}
	}
	if want := outcome(cov); c.ans.Outcome != want {
		c.lie(FalseCoverage, "outcome %q with %d of %d shards, want %q", c.ans.Outcome, cov.Answered, cov.Shards, want)
	}
}

func outcome(cov caller.Coverage) caller.Outcome {
	switch cov.Answered {
	case 0:
		return caller.OutcomeFailed
	case cov.Shards:
		return caller.OutcomeComplete
	default:
		return caller.OutcomePartial
	}
}

func (c *checker) hits() {
	perShard := map[int]int{}
	seen := map[string]bool{}
	for _, h := range c.ans.Hits {
		c.hit(h)
		if seen[h.ID] {
			c.lie(FalseCoverage, "hit %s stands twice", h.ID)
		}
		seen[h.ID] = true
		perShard[h.Shard]++
	}
	if c.asked.Limit < c.ans.Coverage.Shards*hitsPerShard {
		return
	}
	for s := range c.ans.Coverage.Shards {
		missing := slices.Contains(c.ans.Coverage.Missing, s)
		if !missing && perShard[s] != hitsPerShard {
			c.lie(FalseCoverage, "shard %d is said to have answered and has %d hits, want %d", s, perShard[s], hitsPerShard)
		}
	}
}

func (c *checker) hit(h caller.Hit) {
	var version int64
	var shard, n int
	if _, err := fmt.Sscanf(h.ID, "v%d-s%d-%d", &version, &shard, &n); err != nil {
		c.lie(ForeignAnswer, "hit %q is not one of the stand-in's", h.ID)
		return
	}
	var data struct {
		Query   string `json:"query"`
		Version int64  `json:"version"`
		Shards  int    `json:"shards"`
	}
	if err := json.Unmarshal(h.Data, &data); err != nil {
		c.lie(ForeignAnswer, "hit %q has no data of the stand-in", h.ID)
		return
	}
	if version != c.ans.Snapshot.Version || data.Version != version || data.Shards != c.ans.Snapshot.Shards {
		c.lie(MixedSnapshots, "hit %s of version %d with %d shards, the snapshot is version %d with %d", h.ID, version, data.Shards, c.ans.Snapshot.Version, c.ans.Snapshot.Shards)
	}
	if shard != h.Shard || slices.Contains(c.ans.Coverage.Missing, shard) {
		c.lie(FalseCoverage, "hit %s counts for shard %d, missing are %v", h.ID, h.Shard, c.ans.Coverage.Missing)
	}
	if data.Query != c.asked.Query {
		c.lie(ForeignAnswer, "hit %s answers the query %q, want %q", h.ID, data.Query, c.asked.Query)
	}
}
