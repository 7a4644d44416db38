package document

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"
)

// MaxBytes is the maximum size of a document in bytes; the platform stores values of up to a megabyte.
const MaxBytes = 256 << 10

// Preference is whether a service prefers low latency or full coverage when a shard is late.
type Preference string

// The preferences: answer at the soft deadline with the shards received so far, or wait until the deadline.
const (
	PreferLatency  Preference = "latency"
	PreferCoverage Preference = "coverage"
)

// Document is the configuration of one service; Parse fills in the defaults.
type Document struct {
	// Service is the name of the service, such as "remnant-finder".
	Service string `json:"service" yaml:"service"`
	// Upstream holds the limits of each replica of the service.
	Upstream Upstream `json:"upstream" yaml:"upstream"`
	// Deadline holds the time limits of a query.
	Deadline Deadline `json:"deadline" yaml:"deadline"`
	// Prefer is whether to answer without a late shard or to wait for it.
	Prefer Preference `json:"prefer" yaml:"prefer"`
	// Hedge limits the attempts that are sent while the first one still runs.
	Hedge Hedge `json:"hedge" yaml:"hedge"`
	// Retry limits the attempts that follow a failed one.
	Retry Retry `json:"retry" yaml:"retry"`
	// Admission limits the queries that run and wait inside a host.
	Admission Admission `json:"admission" yaml:"admission"`
	// Writes configures non-idempotent requests; they are refused unless Enabled is set.
	Writes Writes `json:"writes" yaml:"writes"`
	// Addresses configures how callers are distributed over the hosts.
	Addresses Addresses `json:"addresses" yaml:"addresses"`
}

// Upstream holds the limits of one replica.
type Upstream struct {
	// Slots is the number of requests that a replica runs concurrently.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the number of connections that a replica accepts from all hosts together.
	Connections int `json:"connections" yaml:"connections"`
	// EntryHosts is the maximum number of hosts that have connections to a replica at the same time, including hosts
	// that are being replaced.
	EntryHosts int `json:"entry_hosts" yaml:"entry_hosts"`
}

// Deadline holds the time limits of a query.
type Deadline struct {
	// Default is the deadline of a request that specifies none.
	Default Duration `json:"default" yaml:"default"`
	// Max is the longest deadline that a caller may request.
	Max Duration `json:"max" yaml:"max"`
	// Soft is the time after which a service that prefers latency answers with the shards received so far.
	Soft Duration `json:"soft" yaml:"soft"`
}

// Hedge limits hedged attempts.
type Hedge struct {
	// BudgetPercent is the maximum number of hedges per hundred first attempts; zero turns hedging off.
	BudgetPercent float64 `json:"budget_percent" yaml:"budget_percent"`
	// Quantile is the latency quantile of replies after which a hedge is sent, between 0.5 and 0.999.
	Quantile float64 `json:"quantile" yaml:"quantile"`
}

// Retry limits attempts that follow a failed one.
type Retry struct {
	// BudgetPercent is the maximum number of retries per hundred first attempts.
	BudgetPercent float64 `json:"budget_percent" yaml:"budget_percent"`
}

// Admission limits the queries that run and wait inside a host.
type Admission struct {
	// Concurrency is the maximum number of queries of the service that run concurrently on one host.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// Queue is the maximum number of queries of the service that wait on one host.
	Queue int `json:"queue" yaml:"queue"`
	// CallerShare is the maximum share of Concurrency and Queue for one caller while others wait, above 0 and at
	// most 1.
	CallerShare float64 `json:"caller_share" yaml:"caller_share"`
}

// Writes configures non-idempotent requests.
type Writes struct {
	// Enabled is whether the service accepts writes.
	Enabled bool `json:"enabled" yaml:"enabled"`
	// TicketLife is how long a write ticket is valid after it was issued.
	TicketLife Duration `json:"ticket_life" yaml:"ticket_life"`
}

// Addresses configures how callers are distributed over the hosts.
type Addresses struct {
	// Keep is how long a caller may cache an address response.
	Keep Duration `json:"keep" yaml:"keep"`
	// Count is the maximum number of addresses in a response.
	Count int `json:"count" yaml:"count"`
}

// FieldError reports an invalid key of a document: its value, the reason, and the valid values.
type FieldError struct {
	Key    string
	Value  string
	Reason string
	Want   string
}

// Error returns the key, value, reason and valid values on one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s; want %s", e.Key, e.Value, e.Reason, e.Want)
}

// Duration is a time.Duration written with its unit, such as "60ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration with its unit; a number without a unit is an error because it is ambiguous.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as 60ms or 2s", b)
	}
	*d = Duration(v)
	return nil
}

// Default returns a document with usable defaults for all values except the name of the service.
func Default() Document {
	return Document{
		Upstream:  Upstream{Slots: 5, Connections: 40, EntryHosts: 8},
		Deadline:  Deadline{Default: Duration(100 * time.Millisecond), Max: Duration(5 * time.Second), Soft: Duration(60 * time.Millisecond)},
		Prefer:    PreferCoverage,
		Hedge:     Hedge{BudgetPercent: 3, Quantile: 0.95},
		Retry:     Retry{BudgetPercent: 10},
		Admission: Admission{Concurrency: 64, Queue: 128, CallerShare: 0.5},
		Writes:    Writes{TicketLife: Duration(30 * time.Second)},
		Addresses: Addresses{Keep: Duration(5 * time.Second), Count: 3},
	}
}

var validName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse parses a document in YAML or JSON, fills in defaults and validates it; unknown keys are errors.
//
// The error joins a *FieldError for each problem, so that operators see all problems at once.
func Parse(b []byte) (Document, error) {
	if len(b) > MaxBytes {
		return Document{}, &FieldError{"document", fmt.Sprintf("%d bytes", len(b)), "too large", fmt.Sprintf("at most %d bytes", MaxBytes)}
	}
	if depth := nesting(b); depth > maxNesting {
		return Document{}, &FieldError{"document", fmt.Sprintf("%d levels", depth), "nested too deeply", fmt.Sprintf("at most %d levels", maxNesting)}
	}
	if err := checkShape(b); err != nil {
		return Document{}, err
	}
	doc := Default()
	if err := yaml.UnmarshalWithOptions(b, &doc, yaml.Strict()); err != nil {
		return Document{}, syntaxError(err)
	}
	if err := doc.Validate(); err != nil {
		return Document{}, err
	}
	return doc, nil
}

// Encode returns the document as JSON, including all defaults.
func (doc Document) Encode() []byte {
	b, err := json.Marshal(doc)
	if err != nil {
		panic(fmt.Sprintf("document: a validated document can't be encoded: %v", err))
	}
	return b
}
