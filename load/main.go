// Command load is the load generator: it sends requests to hosts as callers do and checks the answers against the
// records of the stand-ins.
package main

import (
	"errors"
	"fmt"
	"os"

	"guavaspring.org/core/settings"
)

// exitViolations is the exit status of a run in which an answer was false, a write ran twice or an answer mixed
// snapshots.
const exitViolations = 3

// command is one subcommand and its function.
type command struct {
	name string
	run  func() error
}

// usageError is an invalid setting that is detected only when the command runs.
type usageError struct{ error }

// violationsError reports the false claims found in a run; the process exits with exitViolations.
type violationsError struct{ violations int }

func (e violationsError) Error() string { return fmt.Sprintf("%d false claims found", e.violations) }

func main() {
	app := settings.New("load", "Calls hosts as callers do and reports tail latency, coverage and extra load.")
	commands := []command{queryCommand(app), writeCommand(app), runCommand(app), tableCommand(app), baselineCommand(app), portsCommand(app), compareCommand(app)}
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		settings.Fail(os.Stderr, "load", err)
	}
	for _, c := range commands {
		if c.name == chosen {
			exit(c.run())
		}
	}
}

func exit(err error) {
	if err == nil {
		os.Exit(0)
	}
	var usage usageError
	if errors.As(err, &usage) {
		settings.Fail(os.Stderr, "load", err)
	}
	fmt.Fprintf(os.Stderr, "load: %v\n", err)
	var violations violationsError
	if errors.As(err, &violations) {
		os.Exit(exitViolations)
	}
	os.Exit(1)
}
