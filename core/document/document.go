package document

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"
)

// MaxBytes is the largest document accepted, in bytes; the platform holds values of up to a megabyte.
const MaxBytes = 256 << 10

// Preference says what a service gives up first when a shard is late.
type Preference string

// The two preferences: answer at the soft budget with what there is, or wait for the whole deadline.
const (
	PreferLatency  Preference = "latency"
	PreferCoverage Preference = "coverage"
)

// Document is what the operators of one service write; Parse fills in the defaults.
type Document struct {
	// Service names the service, such as "remnant-finder".
	Service string `json:"service" yaml:"service"`
	// Upstream holds the limits of each replica of the service.
	Upstream Upstream `json:"upstream" yaml:"upstream"`
	// Deadline holds the time limits of a query.
	Deadline Deadline `json:"deadline" yaml:"deadline"`
	// Prefer says what gives way first when a shard is late.
	Prefer Preference `json:"prefer" yaml:"prefer"`
	// Hedge limits the second tries that are sent while the first still runs.
	Hedge Hedge `json:"hedge" yaml:"hedge"`
	// Retry limits the tries that follow a failed one.
	Retry Retry `json:"retry" yaml:"retry"`
	// Admission limits what waits inside a host.
	Admission Admission `json:"admission" yaml:"admission"`
	// Writes holds the rules of non-idempotent requests; they are refused unless Enabled.
	Writes Writes `json:"writes" yaml:"writes"`
	// Addresses holds how callers are spread over the hosts.
	Addresses Addresses `json:"addresses" yaml:"addresses"`
}

// Upstream holds the limits of one replica.
type Upstream struct {
	// Slots is how many requests a replica runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is how many connections a replica accepts from all hosts together.
	Connections int `json:"connections" yaml:"connections"`
	// EntryHosts is the largest number of hosts that may hold connections to a replica at once, those being replaced
	// included.
	EntryHosts int `json:"entry_hosts" yaml:"entry_hosts"`
}

// Deadline holds the time limits of a query.
type Deadline struct {
	// Default is the deadline of a request that names none.
	Default Duration `json:"default" yaml:"default"`
	// Max is the longest deadline a caller may ask for.
	Max Duration `json:"max" yaml:"max"`
	// Soft is when a service that prefers latency answers with what it has.
	Soft Duration `json:"soft" yaml:"soft"`
}

// Hedge limits second tries.
type Hedge struct {
	// BudgetPercent is the most hedges for each hundred first tries; zero turns hedging off.
	BudgetPercent float64 `json:"budget_percent" yaml:"budget_percent"`
	// Quantile is the share of replies that arrive before a hedge is sent, between 0.5 and 0.999.
	Quantile float64 `json:"quantile" yaml:"quantile"`
}

// Retry limits tries that follow a failed one.
type Retry struct {
	// BudgetPercent is the most retries for each hundred first tries.
	BudgetPercent float64 `json:"budget_percent" yaml:"budget_percent"`
}

// Admission limits what runs and waits inside a host.
type Admission struct {
	// Concurrency is the most queries of the service that run at once on one host.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// Queue is the most queries of the service that wait on one host.
	Queue int `json:"queue" yaml:"queue"`
	// CallerShare is the largest share of Concurrency and Queue that one caller may take while others wait, between 0
	// and 1.
	CallerShare float64 `json:"caller_share" yaml:"caller_share"`
}

// Writes holds the rules of non-idempotent requests.
type Writes struct {
	// Enabled says whether the service takes writes at all.
	Enabled bool `json:"enabled" yaml:"enabled"`
	// TicketLife is how long a write ticket can be used after it was handed out.
	TicketLife Duration `json:"ticket_life" yaml:"ticket_life"`
}

// Addresses holds how callers are spread over the hosts.
type Addresses struct {
	// Keep is how long a caller may keep an address answer.
	Keep Duration `json:"keep" yaml:"keep"`
	// Count is how many addresses an answer holds at most.
	Count int `json:"count" yaml:"count"`
}

// FieldError names the key of a document that is wrong, its value, why, and what would be right.
type FieldError struct {
	Key    string
	Value  string
	Reason string
	Want   string
}

// Error returns the whole explanation on one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s; want %s", e.Key, e.Value, e.Reason, e.Want)
}

// Duration is a time.Duration written with its unit, such as "60ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration with its unit; a bare number is an error, since its unit would be a guess.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as 60ms or 2s", b)
	}
	*d = Duration(v)
	return nil
}

// Default returns a document whose every value but the service's name is a working default.
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

// Parse reads a document in YAML or JSON, fills in defaults and validates it; unknown keys are errors.
//
// The error joins a *FieldError for everything that is wrong, so that operators see all of it at once.
func Parse(b []byte) (Document, error) {
	if len(b) > MaxBytes {
		return Document{}, &FieldError{"document", fmt.Sprintf("%d bytes", len(b)), "too large", fmt.Sprintf("at most %d bytes", MaxBytes)}
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

// Encode returns the document with every default written out, as JSON.
func (doc Document) Encode() []byte {
	b, err := json.Marshal(doc)
	if err != nil {
		panic(fmt.Sprintf("document: a validated document can't be encoded: %v", err))
	}
	return b
}
