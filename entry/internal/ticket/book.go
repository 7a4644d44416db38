package ticket

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"guavaspring.org/core/caller"
)

const (
	// recordRetention is how long a record is kept after its ticket expires, so that a late resend still gets its
	// outcome.
	recordRetention = 2 * time.Minute
	// maxClockLead is the largest accepted lead of a ticket's issue time over this host's clock.
	maxClockLead = 5 * time.Second
	// maxResultBytes and maxTotalResultBytes bound the results that are kept for resends, each one and all together.
	maxResultBytes      = 4 << 10
	maxTotalResultBytes = 8 << 20
	// DefaultMaxRecords is the default capacity of a book. At 462 bytes a record (BenchmarkClaim) it takes 15 MB, and
	// with tickets of 30 s it allows 218 writes a second on one host.
	DefaultMaxRecords = 32768
	// fullRetryDelay is the retry delay sent by a host whose book is full; records expire all the time.
	fullRetryDelay = time.Second
)

// Outcome is the outcome of a write as sent to its caller.
type Outcome struct {
	Outcome    caller.WriteOutcome
	Reason     string
	Result     json.RawMessage
	RetryAfter time.Duration
}

// Entry is the record of one used ticket.
type Entry struct {
	digest  uint64
	dropAt  int64
	key     string
	settled bool
	done    chan struct{}
	outcome Outcome
}

// Done returns a channel that is closed once the write has its outcome.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Outcome returns the outcome of the write; it may only be called after Done is closed.
func (e *Entry) Outcome() Outcome { return e.outcome }

// Action is what a host does with a write whose ticket was presented.
type Action string

// The actions.
const (
	// ActionRun means that the caller of Claim must run the write now and call Settle.
	ActionRun Action = "run"
	// ActionWait means that the ticket was used before; the outcome is that of Claim.Entry once it is done.
	ActionWait Action = "wait"
	// ActionAnswer means that the ticket alone determines the outcome, which is Claim.Outcome.
	ActionAnswer Action = "answer"
	// ActionElsewhere means that only another incarnation, the ticket's own, has the outcome.
	ActionElsewhere Action = "elsewhere"
)

// Claim is the decision on one presented ticket.
type Claim struct {
	Action Action
	Ticket Ticket
	// Entry is set for ActionRun and ActionWait.
	Entry *Entry
	// Outcome is set for ActionAnswer.
	Outcome Outcome
}

// Book records each ticket that was used at this incarnation for as long as it may be presented again.
//
// It prevents duplicate writes by callers that resend after a lost reply, out of order or late. Its memory is bounded:
// a full book rejects new tickets and never drops a record early. A rejection must be final but can't be recorded in a
// full book, so the book stores one time, voidedUntil, and rejects all unrecorded tickets issued up to it. The book's
// clock never goes back: an expired ticket stays expired when the wall clock is set back.
type Book struct {
	self       string
	maxRecords int

	mu          sync.Mutex
	entries     map[string]*Entry
	byDropTime  dropHeap
	clockMillis int64
	voidedUntil int64
	resultBytes int
}

// NewBook returns an empty book of the incarnation self that holds at most records entries.
func NewBook(self string, records int) *Book {
	return &Book{self: self, maxRecords: records, entries: map[string]*Entry{}}
}

// Claim decides on a presented ticket; digest is a hash of the body, so that a ticket can't be used for two writes.
func (b *Book) Claim(raw, service string, digest uint64, now time.Time) Claim {
	t, err := Parse(raw)
	if err != nil {
		return notRun(t, err.Error(), 0)
	}
	if t.Service != service {
		return notRun(t, fmt.Sprintf("the ticket is for service %q", t.Service), 0)
	}
	if t.Incarnation != b.self {
		return Claim{Action: ActionElsewhere, Ticket: t}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if e := b.entries[raw]; e != nil {
		return claimResent(t, e, digest)
	}
	return b.claimNew(t, raw, digest)
}

// Settle records the outcome of a write that Claim returned ActionRun for.
func (b *Book) Settle(e *Entry, out Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(out.Result) > maxResultBytes || b.resultBytes+len(out.Result) > maxTotalResultBytes {
		// Callers that wait get the result from the run itself; a later resend gets only the outcome.
		out.Result = nil
	}
	b.resultBytes += len(out.Result)
	e.outcome, e.settled = out, true
	close(e.done)
}

// Len returns the number of records in the book.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

// claimNew decides on a ticket without a record.
func (b *Book) claimNew(t Ticket, raw string, digest uint64) Claim {
	switch {
	case b.clockMillis >= t.Expires.Add(recordRetention).UnixMilli():
		return answer(t, caller.WriteUnknown, "the ticket expired so long ago that this host would have forgotten its use", 0)
	case b.clockMillis >= t.Expires.UnixMilli():
		return notRun(t, "the ticket expired before it was used", 0)
	case t.Issued.UnixMilli() <= b.voidedUntil:
		return notRun(t, "the ticket was voided while this host's record of writes was full; ask for a new one", fullRetryDelay)
	case t.Issued.UnixMilli() > b.clockMillis+maxClockLead.Milliseconds():
		ahead := time.Duration(t.Issued.UnixMilli()-b.clockMillis) * time.Millisecond
		return answer(t, caller.WriteUnknown, "the ticket's issue time is ahead of this host's clock; it may run here later", ahead)
	case len(b.entries) >= b.maxRecords:
		b.voidedUntil = t.Issued.UnixMilli()
		return notRun(t, "this host's record of writes is full; ask for a new ticket", fullRetryDelay)
	}
	e := &Entry{digest: digest, dropAt: t.Expires.Add(recordRetention).UnixMilli(), key: raw, done: make(chan struct{})}
	b.entries[raw] = e
	heap.Push(&b.byDropTime, e)
	return Claim{Action: ActionRun, Ticket: t, Entry: e}
}

// advance moves the book's clock forward and drops the settled records whose retention is over.
func (b *Book) advance(now time.Time) {
	b.clockMillis = max(b.clockMillis, now.UnixMilli())
	for len(b.byDropTime) > 0 && b.byDropTime[0].settled && b.byDropTime[0].dropAt <= b.clockMillis {
		e := heap.Pop(&b.byDropTime).(*Entry)
		b.resultBytes -= len(e.outcome.Result)
		delete(b.entries, e.key)
	}
}

// claimResent decides on a ticket with a record.
func claimResent(t Ticket, e *Entry, digest uint64) Claim {
	if e.digest != digest {
		return notRun(t, "the ticket was used for another write", 0)
	}
	return Claim{Action: ActionWait, Ticket: t, Entry: e}
}

func notRun(t Ticket, reason string, retry time.Duration) Claim {
	return answer(t, caller.WriteNotRun, reason, retry)
}

func answer(t Ticket, o caller.WriteOutcome, reason string, retry time.Duration) Claim {
	return Claim{Action: ActionAnswer, Ticket: t, Outcome: Outcome{Outcome: o, Reason: reason, RetryAfter: retry}}
}

// dropHeap orders records by the time from which they may be dropped.
type dropHeap []*Entry

func (h dropHeap) Len() int           { return len(h) }
func (h dropHeap) Less(i, j int) bool { return h[i].dropAt < h[j].dropAt }
func (h dropHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x for container/heap.
func (h *dropHeap) Push(x any) { *h = append(*h, x.(*Entry)) }

// Pop removes the last element for container/heap.
func (h *dropHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
