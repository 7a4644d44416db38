package check

import (
	"fmt"

	"guavaspring.org/core/caller"
)

// Write holds the outcomes that a caller received for one write, over all attempts with its ticket.
type Write struct {
	OpID string
	// Told lists the outcomes of the attempts in order; a lost connection counts as unknown.
	Told []caller.WriteOutcome
}

// Writes checks the outcomes that callers received against the number of executions of each write.
func Writes(told []Write, ran map[string]int) []Lie {
	var lies []Lie
	for op, n := range ran {
		if n > 1 {
			lies = append(lies, Lie{RanTwice, fmt.Sprintf("write %s ran %d times", op, n)})
		}
	}
	for _, w := range told {
		for _, outcome := range w.Told {
			switch {
			case outcome == caller.WriteNotRun && ran[w.OpID] > 0:
				lies = append(lies, Lie{FalseNotRun, fmt.Sprintf("write %s was reported as not run but was executed %d times; outcomes %v", w.OpID, ran[w.OpID], w.Told)})
			case outcome == caller.WriteDone && ran[w.OpID] == 0:
				lies = append(lies, Lie{FalseDone, fmt.Sprintf("write %s was reported as done but was not executed; outcomes %v", w.OpID, w.Told)})
			}
		}
	}
	return lies
}
