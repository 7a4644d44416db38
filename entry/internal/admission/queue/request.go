package queue

import "time"

// Request is what the queue knows of a request.
type Request struct {
	// Caller is who asks; places are shared fairly among callers.
	Caller string
	// Key groups requests that load the same part of an upstream; a caller's places are shared fairly among its keys.
	Key string
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
}

// Limits bounds what runs and waits.
type Limits struct {
	// Running is the most requests that run at once, at least 1.
	Running int
	// Waiting is the most requests that wait.
	Waiting int
	// CallerShare is the share of Running and of Waiting that one caller may take while others wait, above 0 and at
	// most 1.
	CallerShare float64
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonLate means that the request could not be answered before its deadline.
	ReasonLate Reason = "it can't be answered before its deadline"
	// ReasonFull means that every place to wait is taken.
	ReasonFull Reason = "the queue is full"
	// ReasonShare means that the caller has its share of the queue while others wait.
	ReasonShare Reason = "the caller has its share of the queue while others wait"
	// ReasonDisplaced means that the request's place to wait went to a caller that had fewer.
	ReasonDisplaced Reason = "its place in the queue went to a caller that had fewer"
	// ReasonGone means that the caller ended the request itself.
	ReasonGone Reason = "the caller gave up"
)

// Refusal says why a request was not admitted and when its caller should come back.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the backlog will have drained, spread so that refused callers do not return together.
	RetryAfter time.Duration
}

// Verdict says what became of an arriving request.
type Verdict string

// The verdicts.
const (
	VerdictRun    Verdict = "run"
	VerdictWait   Verdict = "wait"
	VerdictRefuse Verdict = "refuse"
)

// Arrival is the decision about an arriving request; the field that belongs to its verdict is set.
type Arrival struct {
	Verdict Verdict
	Grant   Grant
	Waiter  *Waiter
	Refusal Refusal
}

// Grant is the right to run one request; it is given back by Leave or Return, once.
type Grant struct {
	flow  *flow
	class *class
	start time.Time
	// cost is the time the place was expected to be taken, as charged to the flow.
	cost time.Duration
	long bool
}

// Waiter is a request that waits; Notify is called with it once it is decided.
type Waiter struct {
	// Verdict is VerdictWait until it is decided.
	Verdict Verdict
	// Grant is set once Verdict is VerdictRun.
	Grant Grant
	// Refusal is set once Verdict is VerdictRefuse.
	Refusal Refusal
	// LatestStart is when waiting on is of no use, since the answer would come after the deadline.
	LatestStart time.Time

	// Long says that the request waits for one of the places for long requests.
	Long bool

	key   *keyQueue
	class *class
}
