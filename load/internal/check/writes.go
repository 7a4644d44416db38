package check

import (
	"fmt"

	"guavaspring.org/core/caller"
)

// Write holds the outcomes that a caller received for one write, over all attempts with its ticket.
type Write struct {
	OpID string
	// Outcomes lists the outcomes of the attempts in order; a lost connection counts as unknown.
	Outcomes []caller.WriteOutcome
}

// Writes checks the outcomes that callers received against the number of executions of each write.
func Writes(writes []Write, ran map[string]int) []Violation {
	var violations []Violation
	for op, n := range ran {
		if n > 1 {
			violations = append(violations, Violation{RanTwice, fmt.Sprintf("write %s ran %d times", op, n)})
		}
	}
	for _, w := range writes {
		for _, outcome := range w.Outcomes {
			switch {
			case outcome == caller.WriteNotRun && ran[w.OpID] > 0:
				violations = append(violations, Violation{FalseNotRun, fmt.Sprintf("write %s was reported as not run but was executed %d times; outcomes %v", w.OpID, ran[w.OpID], w.Outcomes)})
			case outcome == caller.WriteDone && ran[w.OpID] == 0:
				violations = append(violations, Violation{FalseDone, fmt.Sprintf("write %s was reported as done but was not executed; outcomes %v", w.OpID, w.Outcomes)})
			}
		}
	}
	return violations
}
