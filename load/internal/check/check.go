package check

import (
	"encoding/json"
	"fmt"
	"slices"

	"guavaspring.org/core/caller"
)

// hitsPerShard is the number of hits that a stand-in returns for each shard if the limit permits.
const hitsPerShard = 3

// Kind is a kind of false claim.
type Kind string

// The kinds of false claims in answers and write outcomes.
const (
	// MixedSnapshots means that a hit has another version or number of shards than the answer's snapshot.
	MixedSnapshots Kind = "mixed_snapshots"
	// FalseCoverage means that the coverage of the answer is inconsistent or does not match its hits.
	FalseCoverage Kind = "false_coverage"
	// ForeignAnswer means that the answer or one of its hits belongs to another request.
	ForeignAnswer Kind = "foreign_answer"
	// RanTwice means that a write was executed more than once.
	RanTwice Kind = "ran_twice"
	// FalseNotRun means that a write was reported as not run but was executed.
	FalseNotRun Kind = "false_not_run"
	// FalseDone means that a write was reported as done but was not executed.
	FalseDone Kind = "false_done"
)

// Violation is one false claim.
type Violation struct {
	Kind   Kind   `json:"kind"`
	Detail string `json:"detail"`
}

// Request holds the fields of a request that its answer must match.
type Request struct {
	RequestID string
	Service   string
	Query     string
	Limit     int
}

// Answer returns the false claims in ans. Of a refusal, which has no hits, only the request id and service are checked.
func Answer(request Request, ans caller.Answer) []Violation {
	c := &checker{request: request, ans: ans}
	if ans.RequestID != request.RequestID || ans.Service != request.Service {
		c.report(ForeignAnswer, "the answer is for request %q of %q", ans.RequestID, ans.Service)
	}
	if ans.Outcome == caller.OutcomeRefused {
		return c.violations
	}
	c.coverage()
	c.hits()
	return c.violations
}

type checker struct {
	request    Request
	ans        caller.Answer
	violations []Violation
}

func (c *checker) report(kind Kind, format string, args ...any) {
	detail := fmt.Sprintf("request %s, explanation %s: ", c.request.RequestID, c.ans.ExplanationID)
	c.violations = append(c.violations, Violation{Kind: kind, Detail: detail + fmt.Sprintf(format, args...)})
}

func (c *checker) coverage() {
	cov, snap := c.ans.Coverage, c.ans.Snapshot
	if cov.Shards != snap.Shards || cov.Answered+len(cov.Missing) != cov.Shards {
		c.report(FalseCoverage, "%d answered and %d missing of %d, snapshot of %d", cov.Answered, len(cov.Missing), cov.Shards, snap.Shards)
	}
	for i, s := range cov.Missing {
		if s < 0 || s >= cov.Shards || slices.Contains(cov.Missing[:i], s) {
			c.report(FalseCoverage, "missing shard %d of %d is not a shard or named twice", s, cov.Shards)
		}
	}
	if want := outcome(cov); c.ans.Outcome != want {
		c.report(FalseCoverage, "outcome %q with %d of %d shards, want %q", c.ans.Outcome, cov.Answered, cov.Shards, want)
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
			c.report(FalseCoverage, "hit %s appears twice", h.ID)
		}
		seen[h.ID] = true
		perShard[h.Shard]++
	}
	if c.request.Limit < c.ans.Coverage.Shards*hitsPerShard {
		return
	}
	for s := range c.ans.Coverage.Shards {
		missing := slices.Contains(c.ans.Coverage.Missing, s)
		if !missing && perShard[s] != hitsPerShard {
			c.report(FalseCoverage, "shard %d is reported as answered and has %d hits, want %d", s, perShard[s], hitsPerShard)
		}
	}
}

func (c *checker) hit(h caller.Hit) {
	var version int64
	var shard, n int
	if _, err := fmt.Sscanf(h.ID, "v%d-s%d-%d", &version, &shard, &n); err != nil {
		c.report(ForeignAnswer, "hit %q does not have the form vVERSION-sSHARD-NUMBER", h.ID)
		return
	}
	var data struct {
		Query   string `json:"query"`
		Version int64  `json:"version"`
		Shards  int    `json:"shards"`
	}
	if err := json.Unmarshal(h.Data, &data); err != nil {
		c.report(ForeignAnswer, "hit %q has invalid data", h.ID)
		return
	}
	if version != c.ans.Snapshot.Version || data.Version != version || data.Shards != c.ans.Snapshot.Shards {
		c.report(MixedSnapshots, "hit %s of version %d with %d shards, the snapshot is version %d with %d", h.ID, version, data.Shards, c.ans.Snapshot.Version, c.ans.Snapshot.Shards)
	}
	if shard != h.Shard || slices.Contains(c.ans.Coverage.Missing, shard) {
		c.report(FalseCoverage, "hit %s counts for shard %d, missing are %v", h.ID, h.Shard, c.ans.Coverage.Missing)
	}
	if data.Query != c.request.Query {
		c.report(ForeignAnswer, "hit %s answers the query %q, want %q", h.ID, data.Query, c.request.Query)
	}
}
