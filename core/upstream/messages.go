package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Headers of the upstream API.
const (
	// HeaderRequest carries an id that is unique to each attempt; the reply repeats it.
	HeaderRequest = "X-Request-Id"
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderVersion pins the index version of a query.
	HeaderVersion = "X-Index-Version"
	// HeaderShard is the number of the requested shard in the shard map of the pinned version.
	HeaderShard = "X-Shard"
	// HeaderVersions lists the versions that the replica holds, in the format of FormatHoldings.
	HeaderVersions = "X-Index-Versions"
	// HeaderDraining is "1" on every reply of a draining replica.
	HeaderDraining = "X-Draining"
	// HeaderNotRun is "true" on an error reply if the request certainly did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderLoad is the load that the replica reports, as "running/slots"; it may be stale or wrong.
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

// Encode returns the request body that is sent to each replica.
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

// Health is the reply of the health endpoint; it may be stale or wrong.
type Health struct {
	Draining bool      `json:"draining"`
	Running  int       `json:"running"`
	Slots    int       `json:"slots"`
	Holdings []Holding `json:"holdings"`
}

// Holding is the shard that a replica holds of one index version, and the number of shards of that version.
type Holding struct {
	Version int64 `json:"version"`
	Shard   int   `json:"shard"`
	Shards  int   `json:"shards"`
}

// MaxHoldings is the maximum number of versions in one HeaderVersions.
const MaxHoldings = 16

// FormatHoldings formats holdings as the value of HeaderVersions, such as "41=3/10,42=7/15".
func FormatHoldings(list []Holding) string {
	parts := make([]string, len(list))
	for i, h := range list {
		parts[i] = fmt.Sprintf("%d=%d/%d", h.Version, h.Shard, h.Shards)
	}
	return strings.Join(parts, ",")
}

// ParseHoldings parses the output of FormatHoldings and rejects anything else.
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
	// The parsers also accept signs and leading zeros, so one holding would have several valid forms.
	if FormatHoldings([]Holding{h}) != s {
		return Holding{}, fmt.Errorf("%s: %q is not version=shard/shards", HeaderVersions, s)
	}
	return h, nil
}
