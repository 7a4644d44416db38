package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Headers of the upstream's API.
const (
	// HeaderRequest carries an id that is unique to each try; the reply echoes it.
	HeaderRequest = "X-Request-Id"
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderVersion pins the index version of a query.
	HeaderVersion = "X-Index-Version"
	// HeaderShard names the shard wanted, in the numbering of the pinned version.
	HeaderShard = "X-Shard"
	// HeaderVersions lists the versions that the replica holds, as FormatHoldings writes them.
	HeaderVersions = "X-Index-Versions"
	// HeaderDraining is "1" on every reply of a replica that is leaving.
	HeaderDraining = "X-Draining"
	// HeaderNotRun is "true" on an error reply where the request truly did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderLoad is what the replica claims of its load, as "running/slots"; it lags or misleads.
	HeaderLoad = "X-Load"
)

// Code is the machine-readable reason of an error reply.
type Code string

// The codes of error replies.
const (
	CodeVersionGone Code = "version_gone"
	CodeShed        Code = "shed"
	CodeDraining    Code = "draining"
	CodeDeadline    Code = "deadline"
	CodeBadRequest  Code = "bad_request"
)

// Problem is the body of an error reply.
type Problem struct {
	Code      Code   `json:"code"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}

// Query is the body of a query.
type Query struct {
	Query string `json:"query"`
	Limit int    `json:"limit"`
}

// Encode returns the body that each replica is sent.
func (q Query) Encode() []byte {
	b, err := json.Marshal(q)
	if err != nil {
		panic("upstream: a query of two plain fields can't be encoded: " + err.Error())
	}
	return b
}

// Hit is one result of a query.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// QueryReply is the reply to a query.
type QueryReply struct {
	RequestID string `json:"request_id"`
	Version   int64  `json:"version"`
	Shard     int    `json:"shard"`
	Hits      []Hit  `json:"hits"`
}

// Write is the body of a write.
type Write struct {
	OpID    string          `json:"op_id"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// WriteReply is the reply to a write.
type WriteReply struct {
	RequestID string          `json:"request_id"`
	Result    json.RawMessage `json:"result,omitempty"`
}

// Health is the reply of the health endpoint, which lags or misleads.
type Health struct {
	Draining bool      `json:"draining"`
	Running  int       `json:"running"`
	Slots    int       `json:"slots"`
	Holdings []Holding `json:"holdings"`
}

// Holding says which shard of a version a replica holds, and into how many that version is split.
type Holding struct {
	Version int64 `json:"version"`
	Shard   int   `json:"shard"`
	Shards  int   `json:"shards"`
}

// MaxHoldings is the most versions that a replica may name in one header.
const MaxHoldings = 16

// FormatHoldings writes holdings as HeaderVersions carries them: "41=3/10,42=7/15".
func FormatHoldings(list []Holding) string {
	parts := make([]string, len(list))
	for i, h := range list {
		parts[i] = fmt.Sprintf("%d=%d/%d", h.Version, h.Shard, h.Shards)
	}
	return strings.Join(parts, ",")
}

// ParseHoldings reads what FormatHoldings wrote and rejects anything else.
func ParseHoldings(s string) ([]Holding, error) {
	if s == "" {
		return nil, nil
	}
	parts := strings.Split(s, ",")
	if len(parts) > MaxHoldings {
		return nil, fmt.Errorf("%s: %d versions, want at most %d", HeaderVersions, len(parts), MaxHoldings)
	}
	list := make([]Holding, 0, len(parts))
	for _, part := range parts {
		h, err := parseHolding(part)
		if err != nil {
			return nil, err
		}
		list = append(list, h)
	}
	return list, nil
}

func parseHolding(s string) (Holding, error) {
	version, rest, ok1 := strings.Cut(s, "=")
	shard, shards, ok2 := strings.Cut(rest, "/")
	v, err1 := strconv.ParseInt(version, 10, 64)
	n, err2 := strconv.Atoi(shard)
	of, err3 := strconv.Atoi(shards)
	if !ok1 || !ok2 || err1 != nil || err2 != nil || err3 != nil || v <= 0 || n < 0 || n >= of || of > 100000 {
		return Holding{}, fmt.Errorf("%s: %q is not version=shard/shards", HeaderVersions, s)
	}
	h := Holding{Version: v, Shard: n, Shards: of}
	// The numbers are also read with signs and leading zeros, in which one holding would have many spellings.
	if FormatHoldings([]Holding{h}) != s {
		return Holding{}, fmt.Errorf("%s: %q is not version=shard/shards", HeaderVersions, s)
	}
	return h, nil
}
