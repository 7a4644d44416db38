package requestlog

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/event"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/scatter"
)

const (
	// troubled is the most lines a second about requests that were not answered whole and in time. A host answers about
	// 60 requests a second on a heavy day; a line has about 1.5 KB, so that 150 of them are 225 KB a second.
	troubled = 150
	// usual is the most lines a second about all others, which are only there to compare with.
	usual = 10
	// admitted is the most lines a second about requests that are about to be sent and must not run twice.
	admitted = 100
	// tellEvery is how often it is said how many lines were left out.
	tellEvery = 10 * time.Second
)

// Options configures a Log.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Dropped returns how many lines the output lost; it may be nil.
	Dropped func() uint64
}

// Log writes the lines.
type Log struct {
	opts                      Options
	troubled, usual, admitted *event.Limit
}

// New returns a log.
func New(opts Options) *Log {
	return &Log{opts: opts, troubled: event.NewLimit(troubled), usual: event.NewLimit(usual), admitted: event.NewLimit(admitted)}
}

// Entry is what is told of one request.
type Entry struct {
	Query  *scatter.Query
	Report *scatter.Report
	// Status is the status of the answer.
	Status int
	// ConfigVersion is the version of the configuration that the request was pinned to; ConfigAge and ReplicasAge are
	// how long ago the store was known to hold nothing newer.
	ConfigVersion          int64
	ConfigAge, ReplicasAge time.Duration
	Took                   time.Duration
}

// Write writes the line of one request, unless too many were written lately.
func (l *Log) Write(e *Entry) {
	limit := l.usual
	if whole := e.Report.Ending == scatter.Complete && e.Report.Retries == 0; !whole || e.Took > e.Query.Route.Objective {
		limit = l.troubled
	}
	if !limit.Allow(l.opts.Clock.Now()) {
		return
	}
	q, rep := e.Query, e.Report
	events.Forwarded.Log(l.opts.Log, "request", q.Request.ID, "route", q.Route.Name, "customer", q.Request.Customer, "ending", rep.Ending, "status", e.Status,
		"took_ms", e.Took.Milliseconds(), "objective_ms", q.Route.Objective.Milliseconds(), "allowed_ms", q.Deadline.Sub(q.Arrived).Milliseconds(),
		"answered", rep.Answered, "shards", len(q.Shards), "hedges", rep.Hedges, "retries", rep.Retries, "denied", rep.Denied, "ran", rep.Ran,
		"config", e.ConfigVersion, "config_age_ms", e.ConfigAge.Milliseconds(), "replicas_age_ms", e.ReplicasAge.Milliseconds(),
		"usual_ms", rep.Usual.Milliseconds(), "hedge_ms", rep.Hedge.Milliseconds(),
		"behind_ms", rep.Overload.Wait.Milliseconds(), "spare_ms", rep.Overload.Bound.Milliseconds(), "waited_ms", rep.Overload.Waited.Milliseconds(), "refuse_chance", rep.Overload.Chance, "retry_after_ms", rep.RetryAfter.Milliseconds(), "steps", Steps(e))
}

// Admitted writes the line of a request that must not run twice, before it is sent: should this host be lost, the line
// is what is left to tell that the request had come.
func (l *Log) Admitted(q *scatter.Query) {
	if !q.Route.Idempotent && l.admitted.Allow(l.opts.Clock.Now()) {
		events.Admitted.Log(l.opts.Log, "request", q.Request.ID, "route", q.Route.Name, "customer", q.Request.Customer, "service", q.Shards[0].Name, "allowed_ms", q.Deadline.Sub(q.Arrived).Milliseconds())
	}
}

// Cause says why a request was refused before it was sent anywhere.
type Cause string

// The causes of refusals.
const (
	// CauseUnknown means that the host has just started and doesn't know the configuration or the replicas yet.
	CauseUnknown Cause = "unknown_config"
	// CauseNoRoute means that no route of the configuration in force matches.
	CauseNoRoute Cause = "no_route"
	// CauseHeader means that the header is over the configured limit.
	CauseHeader Cause = "large_header"
	// CauseBody means that the body is over the configured limit, or could not be read.
	CauseBody Cause = "bad_body"
	// CauseKey means that the key is missing or no customer of the configuration in force has it.
	CauseKey Cause = "unknown_key"
	// CauseAllowance means that the customer has had as many requests as it may.
	CauseAllowance Cause = "over_allowance"
	// CauseNoKeeper means that no host could be asked whether the customer has.
	CauseNoKeeper Cause = "allowance_unknown"
	// CauseHomes means that the route and the customer have homes in different regions.
	CauseHomes Cause = "no_common_home"
	// CauseCrashes means that replicas crashed under the request.
	CauseCrashes Cause = "quarantined"
)

// Refusal is what is told of a request that was refused before it was sent anywhere.
type Refusal struct {
	ID, Host, Path string
	Status         int
	Cause          Cause
	Reason         string
	// Customer is whose request it was, empty where that was not known.
	Customer string
}

// Refused writes the line of a request that was refused before it was sent anywhere.
func (l *Log) Refused(r Refusal) {
	if l.troubled.Allow(l.opts.Clock.Now()) {
		events.Refused.Log(l.opts.Log, "request", r.ID, "host", r.Host, "path", r.Path, "status", r.Status, "cause", r.Cause, "customer", r.Customer, "reason", r.Reason)
	}
}

// Steps returns a short text for each decision about the request.
func Steps(e *Entry) []string {
	list := make([]string, len(e.Report.Steps))
	for i, st := range e.Report.Steps {
		var b strings.Builder
		fmt.Fprintf(&b, "%dms %s %s", st.At.Milliseconds(), st.What, e.Query.Shards[st.Shard].Name)
		if c := st.Choice; c.Replica != nil {
			fmt.Fprintf(&b, " at %s", c.Replica.ID())
			if c.Estimate > 0 {
				fmt.Fprintf(&b, " (estimate %dms, running %d, slowness %.1f, failures %.2f)", c.Estimate.Milliseconds(), c.Seen.Running, c.Seen.Slowness, c.Seen.Failures)
			}
		}
		if st.Why != "" {
			b.WriteString(": " + st.Why)
		}
		list[i] = b.String()
	}
	return list
}

// Skipped returns how many lines were left out since the start.
func (l *Log) Skipped() uint64 {
	return l.troubled.Skipped() + l.usual.Skipped() + l.admitted.Skipped()
}

// Run says from time to time how many lines were left out, until done is closed.
func (l *Log) Run(done <-chan struct{}) {
	var skipped, dropped uint64
	for {
		select {
		case <-l.opts.Clock.After(tellEvery):
		case <-done:
			return
		}
		troubledNow, usualNow := l.troubled.Skipped(), l.usual.Skipped()+l.admitted.Skipped()
		droppedNow := uint64(0)
		if l.opts.Dropped != nil {
			droppedNow = l.opts.Dropped()
		}
		if troubledNow+usualNow != skipped || droppedNow != dropped {
			events.LinesSkipped.Log(l.opts.Log, "troubled", troubledNow, "usual", usualNow, "lost", droppedNow)
		}
		skipped, dropped = troubledNow+usualNow, droppedNow
	}
}
