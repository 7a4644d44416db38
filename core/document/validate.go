package document

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Validate returns the joined errors of all invalid fields; each is a *FieldError.
func (doc Document) Validate() error {
	c := &checker{}
	c.check(validName.MatchString(doc.Service), "service", fmt.Sprintf("%q", doc.Service), "not a service name", "lower-case letters, digits and hyphens, starting with a letter, at most 63")
	c.check(doc.Prefer == PreferLatency || doc.Prefer == PreferCoverage, "prefer", fmt.Sprintf("%q", doc.Prefer), "unknown preference", `"latency" or "coverage"`)
	c.upstream(doc.Upstream)
	c.deadline(doc.Deadline)
	c.attempts(doc.Hedge, doc.Retry)
	c.admission(doc.Admission)
	life, keep := doc.Writes.TicketLife.Std(), doc.Addresses.Keep.Std()
	c.check(inRange(life, time.Second, 10*time.Minute), "writes.ticket_life", life, "out of range", "1s to 10m")
	c.check(inRange(keep, 100*time.Millisecond, time.Hour), "addresses.keep", keep, "out of range", "100ms to 1h")
	c.number("addresses.count", float64(doc.Addresses.Count))
	return errors.Join(c.errs...)
}

// checker collects all errors, so that operators see all problems at once.
type checker struct{ errs []error }

func (c *checker) check(ok bool, key string, value any, reason, want string) {
	if !ok {
		c.errs = append(c.errs, &FieldError{Key: key, Value: fmt.Sprint(value), Reason: reason, Want: want})
	}
}

func (c *checker) upstream(up Upstream) {
	c.number("upstream.slots", float64(up.Slots))
	c.number("upstream.connections", float64(up.Connections))
	c.check(inRange(up.EntryHosts, 1, up.Connections), "upstream.entry_hosts", up.EntryHosts, "every host needs at least one connection to a replica", "1 to upstream.connections")
}

func (c *checker) deadline(dl Deadline) {
	c.check(inRange(dl.Max, 1, Duration(time.Minute)), "deadline.max", dl.Max.Std(), "out of range", "above 0 and at most 1m")
	c.check(inRange(dl.Default, 1, dl.Max), "deadline.default", dl.Default.Std(), "out of range", "above 0 and at most deadline.max")
	c.check(inRange(dl.Soft, 1, dl.Default), "deadline.soft", dl.Soft.Std(), "out of range", "above 0 and at most deadline.default")
}

func (c *checker) attempts(hedge Hedge, retry Retry) {
	c.number("hedge.budget_percent", hedge.BudgetPercent)
	c.number("hedge.quantile", hedge.Quantile)
	c.number("retry.budget_percent", retry.BudgetPercent)
}

func (c *checker) admission(ad Admission) {
	c.number("admission.concurrency", float64(ad.Concurrency))
	c.number("admission.queue", float64(ad.Queue))
	c.check(ad.CallerShare > 0 && ad.CallerShare <= 1, "admission.caller_share", ad.CallerShare, "out of range", "above 0 and at most 1")
}

// bounds holds the minimum and maximum of each number with fixed limits; Schema uses it too.
var bounds = map[string][2]float64{
	"upstream.slots":        {1, 10000},
	"upstream.connections":  {1, 100000},
	"hedge.budget_percent":  {0, 50},
	"hedge.quantile":        {0.5, 0.999},
	"retry.budget_percent":  {0, 100},
	"admission.concurrency": {1, 100000},
	"admission.queue":       {0, 100000},
	"addresses.count":       {1, 64},
}

func (c *checker) number(key string, v float64) {
	b, ok := bounds[key]
	if !ok {
		panic("document: no bounds are known for " + key)
	}
	number := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	c.check(inRange(v, b[0], b[1]), key, number(v), "out of range", number(b[0])+" to "+number(b[1]))
}

// inRange reports whether v is in [least, most]. It is false for NaN, which YAML can express but JSON can't.
func inRange[T cmp.Ordered](v, least, most T) bool { return v >= least && v <= most }
