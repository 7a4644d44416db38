package caller

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
)

// Outcome is the outcome of a query.
type Outcome string

// The outcomes of a query.
const (
	// OutcomeComplete means that all shards of the snapshot answered.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial means that the shards listed as missing did not answer in time.
	OutcomePartial Outcome = "partial"
	// OutcomeRefused means that nothing was sent upstream; the caller may retry after RetryAfterMS.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that no shard answered.
	OutcomeFailed Outcome = "failed"
)

// WriteOutcome is the outcome of a write.
type WriteOutcome string

// The outcomes of a write.
const (
	// WriteDone means that the upstream confirmed that it ran the write.
	WriteDone WriteOutcome = "done"
	// WriteNotRun means that the write certainly did not run, and never will with this ticket.
	WriteNotRun WriteOutcome = "not_run"
	// WriteUnknown means that the write may or may not have run.
	WriteUnknown WriteOutcome = "unknown"
)

// Headers of the API for callers.
const (
	HeaderCaller   = "X-Caller"
	HeaderDeadline = "X-Deadline-Ms"
	HeaderRequest  = "X-Request-Id"
	HeaderTicket   = "X-Ticket"
	// HeaderUseAddresses is UseRefresh on a response of a host that serves but should not get further requests.
	HeaderUseAddresses = "X-Use-Addresses"
)

// UseRefresh tells a caller to request addresses again, even if its cached ones have not expired.
const UseRefresh = "refresh"

// Query is the body of a query.
type Query struct {
	// Query is sent unchanged to every shard.
	Query string `json:"query"`
	// Limit is the maximum number of hits, 1 to 1000; zero means 20.
	Limit int `json:"limit,omitempty"`
	// Key groups requests that put load on the same part of an upstream; it may be empty.
	Key string `json:"key,omitempty"`
}

// Hit is one result of a shard.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Shard int             `json:"shard"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// Snapshot is the index version and number of shards that all hits of an answer come from.
type Snapshot struct {
	Version int64 `json:"version"`
	Shards  int   `json:"shards"`
}

// Coverage is the number and share of the shards of the snapshot that answered.
type Coverage struct {
	Answered int     `json:"answered"`
	Shards   int     `json:"shards"`
	Share    float64 `json:"share"`
	// Missing lists the shards of the snapshot that did not answer.
	Missing []int `json:"missing,omitempty"`
}

// Outcome returns the outcome of a query that was sent upstream and reached this coverage.
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

// Best returns at most limit hits with the highest scores, in the order of an answer; it sorts hits in place.
func Best(hits []Hit, limit int) []Hit {
	slices.SortFunc(hits, func(a, b Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return hits[:min(len(hits), limit)]
}

// Answer is the response to a query.
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
	// Generation is the configuration generation that was used for the query.
	Generation int64 `json:"generation"`
	// RefreshAddresses tells the caller to request addresses again and to stop using this host.
	RefreshAddresses bool `json:"refresh_addresses,omitempty"`
}

// Write is the body of a write.
type Write struct {
	// OpID identifies the operation in the records of the service.
	OpID string `json:"op_id"`
	// Payload is sent unchanged to the upstream.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// WriteAnswer is the response to a write.
type WriteAnswer struct {
	RequestID     string          `json:"request_id"`
	Service       string          `json:"service"`
	Outcome       WriteOutcome    `json:"outcome"`
	Reason        string          `json:"reason,omitempty"`
	Result        json.RawMessage `json:"result,omitempty"`
	RetryAfterMS  int64           `json:"retry_after_ms,omitempty"`
	ExplanationID string          `json:"explanation_id"`
	// RefreshAddresses tells the caller to request addresses again and to stop using this host.
	RefreshAddresses bool `json:"refresh_addresses,omitempty"`
}

// Address is one host that a caller may connect to.
type Address struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// Weight is the share of requests to send there, relative to the other addresses.
	Weight float64 `json:"weight"`
	// Tickets each permit one write, at this address only.
	Tickets []string `json:"tickets,omitempty"`
}

// Addresses is the response to an address request.
type Addresses struct {
	Service string `json:"service"`
	// Generation is the configuration generation that the response is based on.
	Generation int64     `json:"generation"`
	Addresses  []Address `json:"addresses"`
	// KeepMS is how long the caller may cache the response, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
}

// Problem is the body of a response to an invalid request.
type Problem struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
}
