package queue

import "time"

// Request holds the properties of a request that admission depends on.
type Request struct {
	// Caller identifies the client; permits are shared fairly among callers.
	Caller string
	// Key groups requests that load the same part of an upstream; a caller's permits are shared fairly among its keys.
	Key string
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
}

// Limits bounds the number of running and queued requests.
type Limits struct {
	// Running is the maximum number of concurrently running requests, at least 1.
	Running int
	// Waiting is the maximum number of queued requests.
	Waiting int
	// CallerShare is the share of Running and of Waiting that one caller may use while others wait, above 0 and at most
	// 1.
	CallerShare float64
}

// Reason is the cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	// ReasonLate means that the request could not be answered before its deadline.
	ReasonLate Reason = "it can't be answered before its deadline"
	// ReasonFull means that the queue is full.
	ReasonFull Reason = "the queue is full"
	// ReasonShare means that the caller has used up its share of the queue while others wait.
	ReasonShare Reason = "the caller has its share of the queue while others wait"
	// ReasonDisplaced means that the request was displaced by one of a caller or key with fewer queued requests.
	ReasonDisplaced Reason = "its place in the queue went to a caller that had fewer"
	// ReasonCanceled means that the caller canceled the request.
	ReasonCanceled Reason = "the caller gave up"
)

// Refusal holds the reason why a request was not admitted and the delay after which its caller should retry.
type Refusal struct {
	Reason Reason
	// RetryAfter is the estimated time in which the backlog drains, with jitter so that refused callers do not retry
	// together.
	RetryAfter time.Duration
}

// Verdict is the state of a request after its arrival.
type Verdict string

// The verdicts: the request runs, is queued or is refused.
const (
	VerdictRun    Verdict = "run"
	VerdictWait   Verdict = "wait"
	VerdictRefuse Verdict = "refuse"
)

// Arrival is the decision about an arriving request; only the field for its verdict is set.
type Arrival struct {
	Verdict Verdict
	Grant   Grant
	Waiter  *Waiter
	Refusal Refusal
}

// Grant is a permit to run one request; it is returned once, by Release or ReleaseUnused.
type Grant struct {
	flow  *flow
	class *requestClass
	start time.Time
	// cost is the expected hold time, as charged to the flow at the start.
	cost time.Duration
	long bool
}

// Waiter is a queued request; Options.Notify is called with it once it is decided.
type Waiter struct {
	// Verdict is VerdictWait until it is decided.
	Verdict Verdict
	// Grant is set once Verdict is VerdictRun.
	Grant Grant
	// Refusal is set once Verdict is VerdictRefuse.
	Refusal Refusal
	// LatestStart is the time after which the request can't be answered before its deadline.
	LatestStart time.Time

	// Long reports whether the request counts as long and waits for one of the permits for long requests.
	Long bool

	key   *keyQueue
	class *requestClass
}
