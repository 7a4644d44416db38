package check_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/check"
)

var request = check.Request{RequestID: "q1", Service: "s", Query: "wool", Limit: 100}

func hit(version int64, shards, shard, n int, query string) caller.Hit {
	data, _ := json.Marshal(map[string]any{"query": query, "version": version, "shards": shards})
	return caller.Hit{ID: fmt.Sprintf("v%d-s%d-%d", version, shard, n), Shard: shard, Data: data}
}

func answer(missing ...int) caller.Answer {
	ans := caller.Answer{
		RequestID: "q1", Service: "s", Outcome: caller.OutcomeComplete, Snapshot: caller.Snapshot{Version: 7, Shards: 2},
		Coverage: caller.Coverage{Answered: 2 - len(missing), Shards: 2, Missing: missing},
	}
	if len(missing) > 0 {
		ans.Outcome = caller.OutcomePartial
	}
	for s := range 2 {
		for n := range 3 {
			if len(missing) == 0 || missing[0] != s {
				ans.Hits = append(ans.Hits, hit(7, 2, s, n, "wool"))
			}
		}
	}
	return ans
}

func TestEveryUntruthIsFound(t *testing.T) {
	// Guards against false claims that go undetected, and against findings in correct answers.
	for _, test := range []struct {
		name   string
		change func(ans *caller.Answer)
		want   check.Kind
	}{
		{"true and complete", func(*caller.Answer) {}, ""},
		{"true and partial", func(ans *caller.Answer) { *ans = answer(1) }, ""},
		{"refused", func(ans *caller.Answer) {
			*ans = caller.Answer{RequestID: "q1", Service: "s", Outcome: caller.OutcomeRefused}
		}, ""},
		{"hit of another version", func(ans *caller.Answer) { ans.Hits[0] = hit(6, 2, 0, 0, "wool") }, check.MixedSnapshots},
		{"hit of another shard map", func(ans *caller.Answer) { ans.Hits[0] = hit(7, 3, 0, 0, "wool") }, check.MixedSnapshots},
		{"missing shard not named", func(ans *caller.Answer) { ans.Hits = ans.Hits[:3] }, check.FalseCoverage},
		{"shard cut short", func(ans *caller.Answer) { ans.Hits = ans.Hits[1:] }, check.FalseCoverage},
		{"hit twice", func(ans *caller.Answer) { ans.Hits[1] = ans.Hits[0] }, check.FalseCoverage},
		{"partial said to be complete", func(ans *caller.Answer) { *ans = answer(1); ans.Outcome = caller.OutcomeComplete }, check.FalseCoverage},
		{"hits of a missing shard", func(ans *caller.Answer) { *ans = answer(1); ans.Hits = append(ans.Hits, hit(7, 2, 1, 0, "wool")) }, check.FalseCoverage},
		{"shard missing twice", func(ans *caller.Answer) {
			*ans = answer(1)
			ans.Coverage = caller.Coverage{Shards: 2, Missing: []int{1, 1}}
		}, check.FalseCoverage},
		{"hit of another query", func(ans *caller.Answer) { ans.Hits[0] = hit(7, 2, 0, 0, "silk") }, check.ForeignAnswer},
		{"another request's answer", func(ans *caller.Answer) { ans.RequestID = "q2" }, check.ForeignAnswer},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ans := answer()
			test.change(&ans)
			violations := check.Answer(request, ans)
			if test.want == "" {
				c.Assert(violations, qt.HasLen, 0)
				return
			}
			c.Assert(violations, qt.Not(qt.HasLen), 0)
			c.Assert(violations[0].Kind, qt.Equals, test.want)
		})
	}
}

func TestWritesAreComparedWithTheTruth(t *testing.T) {
	// Guards against write outcomes that contradict the number of executions, also on a retry. An unknown outcome
	// contradicts nothing.
	done, notRun, unknown := caller.WriteDone, caller.WriteNotRun, caller.WriteUnknown
	for _, test := range []struct {
		name     string
		outcomes []caller.WriteOutcome
		ran      int
		want     check.Kind
	}{
		{"done and ran", []caller.WriteOutcome{done}, 1, ""},
		{"not run", []caller.WriteOutcome{notRun}, 0, ""},
		{"unknown, ran", []caller.WriteOutcome{unknown}, 1, ""},
		{"unknown, did not run", []caller.WriteOutcome{unknown}, 0, ""},
		{"unknown, then known", []caller.WriteOutcome{unknown, done}, 1, ""},
		{"ran twice", []caller.WriteOutcome{unknown, done}, 2, check.RanTwice},
		{"not run and ran", []caller.WriteOutcome{notRun}, 1, check.FalseNotRun},
		{"resend denied a write that ran", []caller.WriteOutcome{unknown, notRun}, 1, check.FalseNotRun},
		{"done and did not run", []caller.WriteOutcome{done}, 0, check.FalseDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			violations := check.Writes([]check.Write{{OpID: "op", Outcomes: test.outcomes}}, map[string]int{"op": test.ran})
			if test.want == "" {
				c.Assert(violations, qt.HasLen, 0)
				return
			}
			c.Assert(violations, qt.HasLen, 1)
			c.Assert(violations[0].Kind, qt.Equals, test.want)
		})
	}
}
