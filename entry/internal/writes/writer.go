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
	// maxTries bounds the replicas that are asked while each says that it did not run the write.
	maxTries = 3
	// busyRetry is when to come back after every replica asked refused: a few times the run of a write.
	busyRetry = 100 * time.Millisecond
)

// Upstream is what the Writer needs of a service.
type Upstream struct {
	// Enabled says whether the document in force lets the service take writes.
	Enabled bool
	// Enter waits for a place among what runs on this host; where it is refused, leave is nil.
	Enter func(ctx context.Context, req Request) (leave func(done bool), refused ticket.Outcome)
	// Pick returns a replica that is not in tried, or nil.
	Pick func(tried []*replica.Replica) *replica.Replica
	// Send sends one try.
	Send func(ctx context.Context, r *replica.Replica, id string, body []byte) upstream.Result
}

// Options configures a Writer.
type Options struct {
	Clock   clock.Clock
	Log     logr.Logger
	Explain *explain.Store
	NewID   func() string
	// Book is the record of this incarnation.
	Book *ticket.Book
	// Upstream returns what is needed of a service, and false where it is not configured here.
	Upstream func(service string) (Upstream, bool)
	// Where returns the address for callers of a host that is alive, by incarnation; it may be nil.
	Where func(incarnation string) (addr string, ok bool)
}

// Writer runs the writes that are presented to this host.
type Writer struct {
	opts Options
	runs sync.WaitGroup
}

// New returns a writer; every option but Where must be set.
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

// Write runs the write of an unused ticket, and answers any other from the record or from the ticket alone.
func (w *Writer) Write(ctx context.Context, req Request) caller.WriteAnswer {
	body := encode(req.Write)
	rec := &explain.Record{ID: w.opts.NewID(), RequestID: req.ID, Service: req.Service, Caller: req.Caller, Arrived: req.Arrived}
	claim := w.opts.Book.Claim(req.Ticket, req.Service, xxhash.Sum64(body), w.opts.Clock.Now())
	rec.Decisions = append(rec.Decisions, w.decision(req, string(claim.Action), nil, claim.Outcome.Reason))
	out := claim.Outcome
	switch claim.Action {
	case ticket.ActionRun:
		out = w.start(ctx, req, body, claim.Entry, rec)
	case ticket.ActionWait:
		out = wait(ctx, claim.Entry)
	case ticket.ActionElsewhere:
		out = w.elsewhere(claim.Ticket)
	}
	return w.finish(req, rec, string(claim.Action), out)
}

// Wait returns once every write that was begun has its outcome.
func (w *Writer) Wait() { w.runs.Wait() }

// start runs the write apart from its caller: one that goes away must find the outcome recorded when it resends.
func (w *Writer) start(ctx context.Context, req Request, body []byte, e *ticket.Entry, rec *explain.Record) ticket.Outcome {
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
		return tooLate()
	}
}

func wait(ctx context.Context, e *ticket.Entry) ticket.Outcome {
	select {
	case <-e.Done():
		return e.Outcome()
	case <-ctx.Done():
		return tooLate()
	}
}

func tooLate() ticket.Outcome {
	return ticket.Outcome{Outcome: caller.WriteUnknown, Reason: "the deadline passed while the write ran; ask again with the same ticket", RetryAfter: busyRetry}
}

// elsewhere never runs the write and never says not_run: the incarnation that the ticket names may run it, or has.
func (w *Writer) elsewhere(t ticket.Ticket) ticket.Outcome {
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

// run is one write on its way to the replicas.
type run struct {
	w   *Writer
	req Request
	// id is this host's own: callers repeat theirs, and a reply must belong to one try alone.
	id        string
	body      []byte
	decisions []explain.Decision
}

// do tries replicas until one runs the write or the outcome can't be known; the ticket is used up whatever it returns.
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
	out := r.tries(ctx, up)
	leave(out.Outcome == caller.WriteDone)
	return out
}

func (r *run) tries(ctx context.Context, up Upstream) ticket.Outcome {
	var tried []*replica.Replica
	why := "none is known, or the deadline passed before one was asked"
	for len(tried) < maxTries && r.inTime() {
		rep := up.Pick(tried)
		if rep == nil {
			break
		}
		tried = append(tried, rep)
		res := r.send(ctx, up, rep, len(tried))
		out, last := judge(res)
		if last {
			return out
		}
		why = string(res.Kind) + ": " + res.Detail
	}
	return ticket.Outcome{Outcome: caller.WriteNotRun, Reason: "no replica took the write: " + why, RetryAfter: busyRetry}
}

// inTime reads the right to send again: the host may have been paused since it was last read.
func (r *run) inTime() bool { return r.w.opts.Clock.Now().Before(r.req.Deadline) }

func (r *run) send(ctx context.Context, up Upstream, rep *replica.Replica, n int) upstream.Result {
	began := r.w.opts.Clock.Now()
	rep.Begin(began)
	res := up.Send(ctx, rep, r.id+"-w"+strconv.Itoa(n), r.body)
	rep.End(began, res.Took, res.Kind == upstream.KindOK)
	r.decisions = append(r.decisions, r.w.decision(r.req, "write", rep, string(res.Kind)+": "+res.Detail))
	events.WriteTried.Log(r.w.opts.Log, "service", r.req.Service, "request", r.req.ID, "replica", rep.ID, "try", n, "kind", res.Kind, "detail", res.Detail)
	return res
}

// judge turns the end of one try into an outcome, or reports that another replica may be asked.
func judge(res upstream.Result) (out ticket.Outcome, last bool) {
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
		// The payload was parsed as part of a JSON body, so it encodes.
		panic("writes: a decoded write can't be encoded: " + err.Error())
	}
	return b
}
