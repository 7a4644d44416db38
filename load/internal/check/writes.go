package check

import (
	"fmt"

	"guavaspring.org/core/caller"
)

// Write is what a caller was told of one write, over all the times it was sent under its one ticket.
type Write struct {
	OpID string
	// Told lists the outcomes in order; a lost connection counts as unknown.
	Told []caller.WriteOutcome
}

// Writes compares what callers were told with how often each write ran.
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
				lies = append(lies, Lie{FalseNotRun, fmt.Sprintf("write %s was said not to have run and ran %d times; told %v", w.OpID, ran[w.OpID], w.Told)})
			case outcome == caller.WriteDone && ran[w.OpID] == 0:
				lies = append(lies, Lie{FalseDone, fmt.Sprintf("write %s was said to be done and did not run; told %v", w.OpID, w.Told)})
			}
		}
	}
	return lies
}
