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
	// maxTroubledPerSecond limits the lines about requests that were incomplete, retried, refused or slower than their
	// objective. A host answers about 60 requests a second under high load. A line has about 1.5 KB, so that 150 lines
	// are 225 KB a second.
	maxTroubledPerSecond = 150
	// maxUsualPerSecond limits the lines about all other requests, which only serve for comparison.
	maxUsualPerSecond = 10
	// maxStoppingPerSecond limits the lines about requests on a host that stops. Only the line shows whether a request
	// without an answer was answered by the host.
	maxStoppingPerSecond = 150
	// maxAdmittedPerSecond limits the lines about requests that must not run twice and are about to be sent.
	maxAdmittedPerSecond = 100
	// skippedReportInterval is the interval between reports of the number of skipped lines.
	skippedReportInterval = 10 * time.Second
)

// Options configures a Log.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Dropped returns the number of lines lost by the output; it may be nil.
	Dropped func() uint64
	// Stopping returns the time since the host's signal to stop, zero before it; nil means never.
	Stopping func() time.Duration
}

// Log writes one line per request, with a rate limit for each kind of line.
type Log struct {
	opts                                                    Options
	troubledLimit, usualLimit, admittedLimit, stoppingLimit *event.Limit
}

// New returns a log.
func New(opts Options) *Log {
	if opts.Stopping == nil {
		opts.Stopping = func() time.Duration { return 0 }
	}
	return &Log{
		opts: opts, troubledLimit: event.NewLimit(maxTroubledPerSecond), usualLimit: event.NewLimit(maxUsualPerSecond),
		admittedLimit: event.NewLimit(maxAdmittedPerSecond), stoppingLimit: event.NewLimit(maxStoppingPerSecond),
	}
}

// Entry holds the logged data of one request.
type Entry struct {
	Query  *scatter.Query
	Report *scatter.Report
	// Status is the HTTP status of the response.
	Status int
	// ConfigVersion is the version of the configuration that the request used. ConfigAge and ReplicasAge are the times
	// since the local copies were last known to be up to date with the store.
	ConfigVersion          int64
	ConfigAge, ReplicasAge time.Duration
	Took                   time.Duration
	// Unwritten is the reason for which the response could not be written to the client, nil if it was.
	Unwritten error
}

// Write writes the line of one request, unless the rate limit is exceeded.
func (l *Log) Write(e *Entry) {
	stopping := l.opts.Stopping()
	if !l.limit(e, stopping).Allow(l.opts.Clock.Now()) {
		return
	}
	q, rep := e.Query, e.Report
	events.Forwarded.Log(l.opts.Log, "request", q.Request.ID, "route", q.Route.Name, "customer", q.Request.Customer, "ending", rep.Ending, "status", e.Status,
		"took_ms", e.Took.Milliseconds(), "objective_ms", q.Route.Objective.Milliseconds(), "allowed_ms", q.Deadline.Sub(q.Arrived).Milliseconds(),
		"answered", rep.Answered, "shards", len(q.Shards), "hedges", rep.Hedges, "retries", rep.Retries, "denied", rep.Denied, "ran", rep.Ran,
		"config", e.ConfigVersion, "config_age_ms", e.ConfigAge.Milliseconds(), "replicas_age_ms", e.ReplicasAge.Milliseconds(),
		"usual_ms", rep.Usual.Milliseconds(), "hedge_ms", rep.Hedge.Milliseconds(),
		"behind_ms", rep.Overload.Wait.Milliseconds(), "spare_ms", rep.Overload.Bound.Milliseconds(), "waited_ms", rep.Overload.Waited.Milliseconds(), "refuse_chance", rep.Overload.Chance, "retry_after_ms", rep.RetryAfter.Milliseconds(), "stopping_ms", stopping.Milliseconds(), "unwritten", errorText(e.Unwritten), "steps", Steps(e))
}

// limit returns the rate limit of the line about a request.
func (l *Log) limit(e *Entry, stopping time.Duration) *event.Limit {
	switch complete := e.Report.Ending == scatter.Complete && e.Report.Retries == 0; {
	case !complete || e.Took > e.Query.Route.Objective || e.Unwritten != nil:
		return l.troubledLimit
	case stopping > 0:
		return l.stoppingLimit
	}
	return l.usualLimit
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Admitted writes a line about a request that must not run twice, before it is sent. If this host crashes, the line is
// the only record that the request arrived.
func (l *Log) Admitted(q *scatter.Query) {
	if !q.Route.Idempotent && l.admittedLimit.Allow(l.opts.Clock.Now()) {
		events.Admitted.Log(l.opts.Log, "request", q.Request.ID, "route", q.Route.Name, "customer", q.Request.Customer, "service", q.Shards[0].Name, "allowed_ms", q.Deadline.Sub(q.Arrived).Milliseconds())
	}
}

// Cause is the reason for which a request was refused before it was sent to a replica.
type Cause string

// The causes of refusals.
const (
	// CauseUnknown means that the host has just started and has not loaded the configuration or the replicas yet.
	CauseUnknown Cause = "unknown_config"
	// CauseNoRoute means that no route of the configuration in force matches the request.
	CauseNoRoute Cause = "no_route"
	// CauseHeader means that the header is over the configured limit.
	CauseHeader Cause = "large_header"
	// CauseBody means that the body is over the configured limit or can't be read.
	CauseBody Cause = "bad_body"
	// CauseMemory means that messages from peers take all memory that is set aside for them.
	CauseMemory Cause = "no_memory"
	// CauseKey means that the key is missing or belongs to no customer of the configuration in force.
	CauseKey Cause = "unknown_key"
	// CauseAllowance means that the customer exceeded its rate limit.
	CauseAllowance Cause = "over_allowance"
	// CauseNoKeeper means that the customer's rate limit can't be checked: the host that keeps it is unreachable.
	CauseNoKeeper Cause = "allowance_unknown"
	// CauseHomes means that the route and the customer have no home region in common.
	CauseHomes Cause = "no_common_home"
	// CauseCrashes means that the request is quarantined because it crashed replicas.
	CauseCrashes Cause = "quarantined"
	// CauseStopping means that this host stops and would be killed before the request is answered.
	CauseStopping Cause = "stopping"
)

// Refusal holds the logged data of a request that was refused before it was sent to a replica.
type Refusal struct {
	ID, Host, Path string
	Status         int
	Cause          Cause
	Reason         string
	// Customer is the name of the customer, empty if unknown.
	Customer string
}

// Refused writes the line of a refused request, unless the rate limit is exceeded.
func (l *Log) Refused(r Refusal) {
	if l.troubledLimit.Allow(l.opts.Clock.Now()) {
		events.Refused.Log(l.opts.Log, "request", r.ID, "host", r.Host, "path", r.Path, "status", r.Status, "cause", r.Cause, "customer", r.Customer, "reason", r.Reason, "stopping_ms", l.opts.Stopping().Milliseconds())
	}
}

// Steps returns a short description of each routing decision for the request.
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

// Skipped returns the number of lines skipped by the rate limits since the start.
func (l *Log) Skipped() uint64 {
	return l.troubledLimit.Skipped() + l.usualLimit.Skipped() + l.admittedLimit.Skipped() + l.stoppingLimit.Skipped()
}

// Run periodically reports the number of skipped and lost lines, until done is closed.
func (l *Log) Run(done <-chan struct{}) {
	var skipped, dropped uint64
	for {
		select {
		case <-l.opts.Clock.After(skippedReportInterval):
		case <-done:
			return
		}
		troubledNow, usualNow := l.troubledLimit.Skipped(), l.usualLimit.Skipped()+l.admittedLimit.Skipped()+l.stoppingLimit.Skipped()
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
