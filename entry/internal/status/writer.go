package status

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
)

const (
	// minWriteInterval is the minimum time between two writes of one service's status, so that a flapping replica costs
	// the platform at most one write every five seconds.
	minWriteInterval = 5 * time.Second
	tickInterval     = 500 * time.Millisecond
	callTimeout      = 2 * time.Second
	// maxAskedHosts is the maximum number of hosts asked for their generation; a sample of 32 shows the share of
	// lagging hosts within a few per cent.
	maxAskedHosts = 32
)

// Options configures a Writer.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Get and Put read and write an object of the platform.
	Get func(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put func(ctx context.Context, kind platform.Kind, name string, version int64, body []byte) (platform.Object, error)
	// Self and Hosts return this host's row and all hosts that are not dead.
	Self  func() member.Host
	Hosts func() []member.Host
	// Era returns the restart era of the platform's store, which increases when the store is restored from a backup;
	// nil means that it never is.
	Era func() int64
	// First reports whether this host is the first watcher for a purpose, by rendezvous hash.
	First func(purpose string) bool
	// Services returns the names of all services with an accepted or a proposed configuration.
	Services func() []string
	// Report returns the part of the status that this host has locally.
	Report func(service string) platform.Status
	// Number asks a host for its generation in force of a service.
	Number func(ctx context.Context, h member.Host, service string) (int64, error)
}

// Writer writes the status of each service for which this host is the first watcher; only watchers receive proposals.
//
// Hosts that disagree on the members may both be first for a while. The conditional update keeps the object consistent,
// and both write the same status except for what only one of them has seen.
type Writer struct {
	opts   Options
	states map[string]*serviceState
	// era is the restart era in which the statuses were written.
	era int64
}

type serviceState struct {
	last      platform.Status
	lastWrite time.Time
	// failed is whether the last write failed; only the first of several failures is logged.
	failed bool
}

// New returns a writer that is idle until Run.
func New(opts Options) *Writer {
	if opts.Era == nil {
		opts.Era = func() int64 { return 0 }
	}
	return &Writer{opts: opts, states: map[string]*serviceState{}}
}

// Run writes changed statuses until ctx ends; during an outage of the platform it retries at the same rate.
func (w *Writer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.tick(ctx)
		clock.Sleep(ctx, w.opts.Clock, tickInterval)
	}
}

func (w *Writer) tick(ctx context.Context) {
	hosts := w.opts.Hosts()
	if era := w.opts.Era(); era != w.era {
		// The restored backup may lack the written statuses.
		clear(w.states)
		w.era = era
	}
	for _, name := range w.opts.Services() {
		if !w.opts.First("status " + name) {
			// If this host becomes first again, it has to compare with what others wrote meanwhile.
			delete(w.states, name)
			continue
		}
		w.updateService(ctx, name, hosts)
	}
}

func (w *Writer) updateService(ctx context.Context, name string, hosts []member.Host) {
	st := w.states[name]
	if st == nil {
		st = &serviceState{}
		w.states[name] = st
	}
	now := w.opts.Clock.Now()
	if !st.lastWrite.IsZero() && now.Sub(st.lastWrite) < minWriteInterval {
		return
	}
	report := w.opts.Report(name)
	report.WrittenBy = w.opts.Self().Caller.String()
	report.Hosts = countStates(hosts)
	if w.unchanged(st.last, report) {
		return
	}
	report.Hosts.Asked, report.Hosts.InForce = w.askHosts(ctx, name, report.Generation, hosts)
	st.lastWrite = now
	if err := w.write(ctx, name, report); err != nil {
		if !st.failed && ctx.Err() == nil {
			events.StatusFailed.Log(w.opts.Log, "service", name, "error", err.Error())
		}
		st.failed = true
		return
	}
	st.last, st.failed = report, false
	events.StatusWritten.Log(w.opts.Log, "service", name, "generation", report.Generation, "proposed", report.Proposed,
		"refused", report.Refused, "asked", report.Hosts.Asked, "in_force", report.Hosts.InForce)
}

// unchanged reports whether there is nothing new to write. Hosts are asked again only after a change, or while some
// lack the generation.
func (w *Writer) unchanged(last, now platform.Status) bool {
	if last.Hosts.InForce < last.Hosts.Asked {
		return false
	}
	now.Hosts.Asked, now.Hosts.InForce = last.Hosts.Asked, last.Hosts.InForce
	return reflect.DeepEqual(last, now)
}

func countStates(hosts []member.Host) platform.StatusHosts {
	var c platform.StatusHosts
	for _, h := range hosts {
		switch h.State {
		case member.StateAlive:
			c.Alive++
		case member.StateSuspect:
			c.Suspect++
		case member.StateLeaving:
			c.Leaving++
		}
	}
	return c
}

// askHosts asks a sample of the hosts, or all of a small fleet, for their generation in force, and returns the number
// of hosts asked and of those that have the generation or a later one.
func (w *Writer) askHosts(ctx context.Context, name string, number int64, hosts []member.Host) (asked, inForce int) {
	now := w.opts.Clock.Now()
	// The purpose changes each second, so that each ranking draws another sample.
	list := member.Ranked(hosts, fmt.Sprint("sample ", name, now.Unix()))
	list = slices.DeleteFunc(list, func(h member.Host) bool { return h.State != member.StateAlive })
	list = list[:min(maxAskedHosts, len(list))]
	found := make(chan bool, len(list))
	for _, h := range list {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			n, err := w.opts.Number(callCtx, h, name)
			found <- err == nil && n >= number
		}()
	}
	for range list {
		if <-found {
			inForce++
		}
	}
	return len(list), inForce
}

// write reads the current version first, since another host may have written the object.
func (w *Writer) write(ctx context.Context, name string, report platform.Status) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	old, err := w.opts.Get(ctx, platform.KindStatus, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	b, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("encode status of %s: %w", name, err)
	}
	_, err = w.opts.Put(ctx, platform.KindStatus, name, old.Version, b)
	return err
}
