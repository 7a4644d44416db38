package check

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"guavaspring.org/soak/internal/client"
	"guavaspring.org/soak/internal/hosts"
	"guavaspring.org/soak/internal/world"
)

const (
	// lossSlack is how long after its last byte a request may end without an answer if it was not passed on, and linkSlack is
	// added where the link has a delay.
	lossSlack, linkSlack = 200 * time.Millisecond, 100 * time.Millisecond
	// afterGrace is how long after the grace a stop still counts as planned work.
	afterGrace = time.Second
	// lateInStop is how long after the signal to stop a request may be sent whose replica is still at work at the end of the
	// grace.
	lateInStop = 3 * time.Second
	// applyBound is the time in which a changed configuration or settings file is applied.
	applyBound = 3 * time.Second
	// clockSlack is by how much the client's times may differ from the host's.
	clockSlack = 20 * time.Millisecond
)

// Work is the planned work around which a request was cut.
type Work string

// The kinds of planned work; Calm means that there was none.
const (
	Stop          Work = "stop"
	Hangup        Work = "hangup"
	Configuration Work = "configuration"
	Calm          Work = "calm"
)

// Verdict is whether a cut request counts as lost, and if not, the reason.
type Verdict string

// The verdicts.
const (
	Lost Verdict = "lost"
	// Crossed means that the request was not passed on, and crossed the close of its connection.
	Crossed Verdict = "crossed the close"
	// Unread means that the host had not read the request: only a connection with unread bytes is reset when it is closed.
	Unread Verdict = "not read"
	// TimeUsedUp means that the time budget or the route's timeout was reached.
	TimeUsedUp Verdict = "time used up"
	// AtWork means that the replica was at work in the last sixth of the grace, on a request sent early in the stop.
	AtWork Verdict = "replica at work in the last sixth"
)

// Cut is a request whose connection ended without a complete answer. The replicas of planned stops never break off, which
// would be another reason for which a cut does not count.
type Cut struct {
	Attempt *client.Attempt
	// Process is the process that the request was sent to.
	Process *hosts.Process
	Runs    []world.Run
	// Changes are the times at which configurations were acknowledged.
	Changes []time.Time
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
}

// Judge returns the planned work around which the request was cut, and whether it counts as lost.
func (c Cut) Judge() (Work, Verdict) {
	a, work := c.Attempt, c.workAround()
	runs := slices.DeleteFunc(slices.Clone(c.Runs), func(r world.Run) bool { return r.Began.After(a.Done) })
	slack := lossSlack
	if a.Habit == client.Delayed {
		slack += linkSlack
	}
	switch {
	case len(runs) == 0 && a.Done.Sub(a.Written) <= slack:
		return work, Crossed
	case len(runs) == 0 && errors.Is(a.Err, syscall.ECONNRESET):
		return work, Unread
	case a.Done.Sub(a.Sent) > min(a.Kind.Patience, a.Kind.Timeout)-clockSlack:
		return work, TimeUsedUp
	case work == Stop && c.atWork(runs):
		return work, AtWork
	}
	return work, Lost
}

// atWork reports whether a replica was at work in the last sixth of the grace, on a request sent early in the stop.
func (c Cut) atWork(runs []world.Run) bool {
	term := c.Process.First(syscall.SIGTERM)
	lastSixth := term.Add(c.Grace - c.Grace/6)
	working := func(r world.Run) bool { return r.Ended.IsZero() || r.Ended.After(lastSixth) }
	return !c.Attempt.Written.After(term.Add(lateInStop)) && c.Attempt.Done.After(lastSixth) && slices.ContainsFunc(runs, working)
}

func (c Cut) workAround() Work {
	a := c.Attempt
	within := func(from, until time.Time) bool { return !a.Done.Before(from) && !a.Done.After(until) }
	if term := c.Process.First(syscall.SIGTERM); !term.IsZero() && within(term, term.Add(c.Grace+afterGrace)) {
		return Stop
	}
	for _, s := range c.Process.Signals {
		if s.Signal == syscall.SIGHUP && a.Written.Before(s.At.Add(applyBound)) && a.Done.After(s.At) {
			return Hangup
		}
	}
	if slices.ContainsFunc(c.Changes, func(t time.Time) bool { return within(t, t.Add(applyBound+time.Second)) }) {
		return Configuration
	}
	return Calm
}
