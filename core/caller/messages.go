package caller

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
)

// Outcome says what became of a query.
type Outcome string

// The outcomes of a query.
const (
	// OutcomeComplete means that every shard of the snapshot answered.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial means that the shards listed as missing did not answer in time.
	OutcomePartial Outcome = "partial"
	// OutcomeRefused means that nothing was sent upstream; RetryAfterMS says when to come back.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that no shard answered.
	OutcomeFailed Outcome = "failed"
)

// WriteOutcome says what became of a write.
type WriteOutcome string

// The outcomes of a write.
const (
	// WriteDone means that the upstream ran the write and said so.
	WriteDone WriteOutcome = "done"
	// WriteNotRun means that the write truly did not run, and never will under this ticket.
	WriteNotRun WriteOutcome = "not_run"
	// WriteUnknown means that the write may or may not have run.
	WriteUnknown WriteOutcome = "unknown"
)

// Headers of the caller's API.
const (
	HeaderCaller   = "X-Caller"
	HeaderDeadline = "X-Deadline-Ms"
	HeaderRequest  = "X-Request-Id"
	HeaderTicket   = "X-Ticket"
	// HeaderUseAddresses is UseRefresh on a reply of a host that serves and should not be used for what comes next.
	HeaderUseAddresses = "X-Use-Addresses"
)

// UseRefresh tells a caller to ask for addresses again, though its answer may still be kept.
const UseRefresh = "refresh"

// Query is the body of a query.
type Query struct {
	// Query is passed on to every shard as it is.
	Query string `json:"query"`
	// Limit is the most hits wanted, 1 to 1000; zero means 20.
	Limit int `json:"limit,omitempty"`
	// Key groups requests that load the same part of an upstream; it may be empty.
	Key string `json:"key,omitempty"`
}

// Hit is one result of a shard.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Shard int             `json:"shard"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// Snapshot names the index version and shard map that every hit of an answer comes from.
type Snapshot struct {
	Version int64 `json:"version"`
	Shards  int   `json:"shards"`
}

// Coverage says which share of the snapshot answered.
type Coverage struct {
	Answered int     `json:"answered"`
	Shards   int     `json:"shards"`
	Share    float64 `json:"share"`
	// Missing lists the shards of the snapshot that did not answer.
	Missing []int `json:"missing,omitempty"`
}

// Outcome returns the outcome of a query that was sent upstream and came to this coverage.
func (cov Coverage) Outcome() Outcome {
	switch cov.Answered {
	case 0:
		return OutcomeFailed
	case cov.Shards:
		return OutcomeComplete
	default:
		return OutcomePartial
	}
}

// Best returns the hits with the highest scores, at most limit, in the order in which an answer lists them; it sorts
// hits.
func Best(hits []Hit, limit int) []Hit {
	slices.SortFunc(hits, func(a, b Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return hits[:min(len(hits), limit)]
}

// Answer is the reply to a query.
type Answer struct {
	RequestID     string   `json:"request_id"`
	Service       string   `json:"service"`
	Outcome       Outcome  `json:"outcome"`
	Reason        string   `json:"reason,omitempty"`
	Snapshot      Snapshot `json:"snapshot"`
	Coverage      Coverage `json:"coverage"`
	Hits          []Hit    `json:"hits"`
	RetryAfterMS  int64    `json:"retry_after_ms,omitempty"`
	ExplanationID string   `json:"explanation_id"`
	// Generation is the configuration generation that the query ran under.
	Generation int64 `json:"generation"`
	// RefreshAddresses tells the caller to ask for addresses again: this host should not be used for what comes next.
	RefreshAddresses bool `json:"refresh_addresses,omitempty"`
}

// Write is the body of a write.
type Write struct {
	// OpID names the operation for the service's own records.
	OpID string `json:"op_id"`
	// Payload is passed on to the upstream as it is.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// WriteAnswer is the reply to a write.
type WriteAnswer struct {
	RequestID     string          `json:"request_id"`
	Service       string          `json:"service"`
	Outcome       WriteOutcome    `json:"outcome"`
	Reason        string          `json:"reason,omitempty"`
	Result        json.RawMessage `json:"result,omitempty"`
	RetryAfterMS  int64           `json:"retry_after_ms,omitempty"`
	ExplanationID string          `json:"explanation_id"`
	// RefreshAddresses tells the caller to ask for addresses again: this host should not be used for what comes next.
	RefreshAddresses bool `json:"refresh_addresses,omitempty"`
}

// Address is one host that a caller may connect to.
type Address struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// Weight is the share of requests to send there, relative to the other addresses.
	Weight float64 `json:"weight"`
	// Tickets are rights to one write each, at this address only.
	Tickets []string `json:"tickets,omitempty"`
}

// Addresses is the reply to an address request.
type Addresses struct {
	Service string `json:"service"`
	// Generation is the configuration generation the answer rests on.
	Generation int64     `json:"generation"`
	Addresses  []Address `json:"addresses"`
	// KeepMS is how long the answer may be kept, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
}

// Problem is the body of a reply to a request that was wrong.
type Problem struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
}
