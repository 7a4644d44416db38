package writes

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/ticket"
)

const (
	// maxAttempts bounds the attempts of a write, each at another replica. An attempt is followed by another one only
	// if it certainly did not run the write.
	maxAttempts = 3
	// retryAfterBusy is the retry delay for callers after every replica asked has rejected the write, or after the
	// deadline: a few times the duration of a write.
	retryAfterBusy = 100 * time.Millisecond
)

// Upstream holds the functions by which a Writer reaches the replicas of a service.
type Upstream struct {
	// Enabled is set if the document in force enables writes for the service.
	Enabled bool
	// Enter admits the write on this host, waiting in the admission queue if need be. If the write is rejected, leave
	// is nil and refused is the outcome; otherwise leave must be called when the write ends.
	Enter func(ctx context.Context, req Request) (leave func(done bool), refused ticket.Outcome)
	// Pick returns a replica that is not in tried, or nil.
	Pick func(tried []*replica.Replica) *replica.Replica
	// Send sends one attempt to a replica and returns its result.
	Send func(ctx context.Context, r *replica.Replica, id string, body []byte) upstream.Result
}

// Options configures a Writer.
type Options struct {
	Clock   clock.Clock
	Log     logr.Logger
	Explain *explain.Store
	NewID   func() string
	// Book records the outcomes of the tickets of this incarnation of the host.
	Book *ticket.Book
	// Upstream returns the Upstream of a service, and false if the service is not configured on this host.
	Upstream func(service string) (Upstream, bool)
	// Where returns the address for callers of the live host with the incarnation. It may be nil.
	Where func(incarnation string) (addr string, ok bool)
}

// Writer runs the writes that arrive at this host, each at most once.
type Writer struct {
	opts Options
	runs sync.WaitGroup
}

// New returns a Writer; every option but Where must be set.
func New(opts Options) *Writer {
	if opts.Where == nil {
		opts.Where = func(string) (string, bool) { return "", false }
	}
	return &Writer{opts: opts}
}

// Request is one write as it arrived at the host.
type Request struct {
	ID       string
	Service  string
	Caller   string
	Ticket   string
	Arrived  time.Time
	Deadline time.Time
	Write    caller.Write
}

// Write runs the write if its ticket is unused. Otherwise it answers with the recorded outcome, or from the ticket
// alone.
func (w *Writer) Write(ctx context.Context, req Request) caller.WriteAnswer {
	body := encode(req.Write)
	rec := &explain.Record{ID: w.opts.NewID(), RequestID: req.ID, Service: req.Service, Caller: req.Caller, Arrived: req.Arrived}
	claim := w.opts.Book.Claim(req.Ticket, req.Service, xxhash.Sum64(body), w.opts.Clock.Now())
	rec.Decisions = append(rec.Decisions, w.decision(req, string(claim.Action), nil, claim.Outcome.Reason))
	out := claim.Outcome
	switch claim.Action {
	case ticket.ActionRun:
		out = w.runDetached(ctx, req, body, claim.Entry, rec)
	case ticket.ActionWait:
		out = wait(ctx, claim.Entry)
	case ticket.ActionElsewhere:
		out = w.otherIncarnation(claim.Ticket)
	}
	return w.finish(req, rec, string(claim.Action), out)
}

// Wait blocks until every running write has its outcome.
func (w *Writer) Wait() { w.runs.Wait() }

// runDetached runs the write detached from its caller's request, so that a caller that disconnects finds the outcome
// recorded when it resends the write.
func (w *Writer) runDetached(ctx context.Context, req Request, body []byte, e *ticket.Entry, rec *explain.Record) ticket.Outcome {
	got := make(chan ticket.Outcome, 1)
	decisions := make(chan []explain.Decision, 1)
	w.runs.Go(func() {
		r := &run{w: w, req: req, id: rec.ID, body: body}
		out := r.do(context.WithoutCancel(ctx))
		w.opts.Book.Settle(e, out)
		decisions <- r.decisions
		got <- out
	})
	select {
	case out := <-got:
		rec.Decisions = append(rec.Decisions, <-decisions...)
		return out
	case <-ctx.Done():
		return deadlineOutcome()
	}
}

func wait(ctx context.Context, e *ticket.Entry) ticket.Outcome {
	select {
	case <-e.Done():
		return e.Outcome()
	case <-ctx.Done():
		return deadlineOutcome()
	}
}

func deadlineOutcome() ticket.Outcome {
	return ticket.Outcome{Outcome: caller.WriteUnknown, Reason: "the deadline passed while the write ran; ask again with the same ticket", RetryAfter: retryAfterBusy}
}

// otherIncarnation answers a ticket of another incarnation. It neither runs the write nor returns not_run, since that
// incarnation may run the write or may have run it.
func (w *Writer) otherIncarnation(t ticket.Ticket) ticket.Outcome {
	if addr, ok := w.opts.Where(t.Incarnation); ok {
		return ticket.Outcome{Outcome: caller.WriteUnknown, Reason: fmt.Sprintf("only the host at %s can run this ticket or tell its outcome", addr)}
	}
	return ticket.Outcome{Outcome: caller.WriteUnknown, Reason: "the host that this ticket names is gone, and its record with it"}
}

func (w *Writer) finish(req Request, rec *explain.Record, action string, out ticket.Outcome) caller.WriteAnswer {
	took := w.opts.Clock.Now().Sub(req.Arrived)
	rec.Outcome, rec.Reason, rec.TookMS = string(out.Outcome), out.Reason, explain.Millis(took)
	w.opts.Explain.Add(rec)
	events.WriteAnswered.Log(w.opts.Log, "service", req.Service, "request", req.ID, "action", action, "outcome", out.Outcome,
		"reason", out.Reason, "took_ms", rec.TookMS, "explanation", rec.ID)
	return caller.WriteAnswer{
		RequestID: req.ID, Service: req.Service, Outcome: out.Outcome, Reason: out.Reason, Result: out.Result,
		RetryAfterMS: out.RetryAfter.Milliseconds(), ExplanationID: rec.ID,
	}
}

func (w *Writer) decision(req Request, what string, r *replica.Replica, why string) explain.Decision {
	d := explain.Decision{AtMS: explain.Millis(w.opts.Clock.Now().Sub(req.Arrived)), What: what, Shard: -1, Why: why}
	if r != nil {
		d.Replica = r.ID
	}
	return d
}

// run is the state of one running write.
type run struct {
	w   *Writer
	req Request
	// id is the prefix of the attempt ids, generated by this host: callers repeat theirs, and a reply must belong to
	// exactly one attempt.
	id        string
	body      []byte
	decisions []explain.Decision
}

// do admits the write and sends it to replicas until one runs it or the outcome can't be determined. The ticket is used
// up whatever the outcome.
func (r *run) do(ctx context.Context) ticket.Outcome {
	up, ok := r.w.opts.Upstream(r.req.Service)
	if !ok || !up.Enabled {
		return ticket.Outcome{Outcome: caller.WriteNotRun, Reason: "the service's document doesn't enable writes"}
	}
	ctx, cancel := context.WithTimeout(ctx, r.req.Deadline.Sub(r.w.opts.Clock.Now()))
	defer cancel()
	leave, refused := up.Enter(ctx, r.req)
	if leave == nil {
		return refused
	}
	out := r.attemptReplicas(ctx, up)
	leave(out.Outcome == caller.WriteDone)
	return out
}

func (r *run) attemptReplicas(ctx context.Context, up Upstream) ticket.Outcome {
	var tried []*replica.Replica
	why := "none is known, or the deadline passed before one was asked"
	for len(tried) < maxAttempts && r.beforeDeadline() {
		rep := up.Pick(tried)
		if rep == nil {
			break
		}
		tried = append(tried, rep)
		res := r.send(ctx, up, rep, len(tried))
		out, last := outcomeOf(res)
		if last {
			return out
		}
		why = string(res.Kind) + ": " + res.Detail
	}
	return ticket.Outcome{Outcome: caller.WriteNotRun, Reason: "no replica took the write: " + why, RetryAfter: retryAfterBusy}
}

// beforeDeadline reports whether the deadline has not passed. It reads the clock before each attempt, since the host
// may have been paused since the last reading.
func (r *run) beforeDeadline() bool { return r.w.opts.Clock.Now().Before(r.req.Deadline) }

func (r *run) send(ctx context.Context, up Upstream, rep *replica.Replica, n int) upstream.Result {
	began := r.w.opts.Clock.Now()
	rep.Begin(began)
	res := up.Send(ctx, rep, r.id+"-w"+strconv.Itoa(n), r.body)
	rep.End(began, res.Took, res.Kind == upstream.KindOK)
	r.decisions = append(r.decisions, r.w.decision(r.req, "write", rep, string(res.Kind)+": "+res.Detail))
	events.WriteTried.Log(r.w.opts.Log, "service", r.req.Service, "request", r.req.ID, "replica", rep.ID, "try", n, "kind", res.Kind, "detail", res.Detail)
	return res
}

// outcomeOf returns the outcome of a write after an attempt. If last is false, the attempt did not run and another
// replica may be asked.
func outcomeOf(res upstream.Result) (out ticket.Outcome, last bool) {
	switch res.Kind {
	case upstream.KindOK:
		return ticket.Outcome{Outcome: caller.WriteDone, Result: res.Write}, true
	case upstream.KindNotSent, upstream.KindShed, upstream.KindDraining:
		return ticket.Outcome{}, false
	case upstream.KindRefused:
		return ticket.Outcome{Outcome: caller.WriteNotRun, Reason: res.Detail}, true
	default:
		return ticket.Outcome{Outcome: caller.WriteUnknown, Reason: string(res.Kind) + ": " + res.Detail}, true
	}
}

func encode(w caller.Write) []byte {
	b, err := json.Marshal(upstream.Write{OpID: w.OpID, Payload: w.Payload})
	if err != nil {
		// Unreachable: the payload was decoded from a JSON body, so it can be encoded.
		panic("writes: encoding a decoded write: " + err.Error())
	}
	return b
}
