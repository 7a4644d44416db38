package scene

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"guavaspring.org/core/document"
)

// Scene describes one experiment: its load, faults and aims.
type Scene struct {
	// Name equals the base name of the file, and About is a one-sentence description.
	Name  string `yaml:"name"`
	About string `yaml:"about"`
	// Service receives Rate queries per second from Callers callers for Duration. Queries scheduled during Warmup are
	// not counted.
	Service  string            `yaml:"service"`
	Rate     float64           `yaml:"rate"`
	Callers  int               `yaml:"callers"`
	Duration document.Duration `yaml:"duration"`
	Warmup   document.Duration `yaml:"warmup"`
	Deadline document.Duration `yaml:"deadline"`
	Limit    int               `yaml:"limit"`
	// HotShare is the share of queries that one caller sends, from 0 to below 1.
	HotShare float64 `yaml:"hot_share"`
	// RetryRefused makes callers retry a refused query once where the refusal gives a retry delay.
	RetryRefused bool `yaml:"retry_refused"`
	// Writes are sent concurrently with the queries.
	Writes Writes `yaml:"writes"`
	// Poison is a query that crashes each replica that runs it and is sent repeatedly.
	Poison Poison `yaml:"poison"`
	// Policies names the policies to run the scene with; empty means all.
	Policies []string `yaml:"policies"`
	// Faults are set during the run.
	Faults []Fault `yaml:"faults"`
	// Reference describes the run that ratios are computed against, such as the same scene without the fault; nil for
	// none.
	Reference *Reference `yaml:"reference"`
	// Aims are the bounds that the table checks the runs against.
	Aims []Aim `yaml:"aims"`
	// Action is the operation that the script of the run performs on the processes during the run, such as kill_host.
	Action string `yaml:"action"`
}

// Reference is a run without the scene's faults, action and hot caller. A Rate of 0 means the scene's own rate.
type Reference struct {
	Rate float64 `yaml:"rate"`
}

// AsReference returns the scene that the ratios of s are computed against.
func (s Scene) AsReference() (Scene, error) {
	if s.Reference == nil {
		return s, fmt.Errorf("scene %s has no reference", s.Name)
	}
	s.Faults, s.Action, s.HotShare = nil, "", 0
	if s.Reference.Rate > 0 {
		s.Rate = s.Reference.Rate
	}
	return s, nil
}

// Aim bounds one measure of a scene; a bound that is not set does not apply.
type Aim struct {
	// Measure is a key of report.Measures.
	Measure string   `yaml:"measure"`
	AtMost  *float64 `yaml:"at_most"`
	AtLeast *float64 `yaml:"at_least"`
}

// Met reports whether v is within the bounds.
func (a Aim) Met(v float64) bool {
	return (a.AtMost == nil || v <= *a.AtMost) && (a.AtLeast == nil || v >= *a.AtLeast)
}

// Bounds returns the bounds as text.
func (a Aim) Bounds() string {
	switch {
	case a.AtMost != nil && a.AtLeast != nil:
		return fmt.Sprintf("%v to %v", *a.AtLeast, *a.AtMost)
	case a.AtMost != nil:
		return fmt.Sprintf("at most %v", *a.AtMost)
	case a.AtLeast != nil:
		return fmt.Sprintf("at least %v", *a.AtLeast)
	default:
		return "none"
	}
}

// Writes describes the writes of a scene: Rate per second to Service.
type Writes struct {
	Service string  `yaml:"service"`
	Rate    float64 `yaml:"rate"`
}

// Poison is a query with a crash marker, sent Times times by the callers in turn; its answers are not counted.
type Poison struct {
	Text  string            `yaml:"text"`
	At    document.Duration `yaml:"at"`
	Every document.Duration `yaml:"every"`
	Times int               `yaml:"times"`
}

// Fault is a fault of the stand-ins that is set during the run, At after its start.
type Fault struct {
	At document.Duration `yaml:"at"`
	// Service and Replicas select the replicas by index; a fault without a service is set on the platform stand-in.
	Service  string `yaml:"service"`
	Replicas []int  `yaml:"replicas"`
	// Set is the request body for /control/faults of the stand-in.
	Set map[string]any `yaml:"set"`
}

// Body returns the fault as JSON for /control/faults of a stand-in.
func (f Fault) Body() (json.RawMessage, error) {
	b, err := json.Marshal(f.Set)
	if err != nil {
		return nil, fmt.Errorf("fault at %s: %w", f.At.Std(), err)
	}
	return b, nil
}

// Read returns the scene in the file, with defaults for the keys that it leaves out.
func Read(file string) (Scene, error) {
	s := Scene{
		Service: "remnant-finder", Rate: 100, Callers: 24, Limit: 100,
		Duration: document.Duration(8 * time.Second), Warmup: document.Duration(2 * time.Second), Deadline: document.Duration(400 * time.Millisecond),
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("scene: %w", err)
	}
	if err := yaml.UnmarshalWithOptions(b, &s, yaml.Strict()); err != nil {
		return s, fmt.Errorf("scene %s: %w", file, err)
	}
	if err := s.validate(); err != nil {
		return s, fmt.Errorf("scene %s: %w", file, err)
	}
	return s, nil
}

func (s Scene) validate() error {
	switch {
	case s.Name == "":
		return errors.New("name: want a name")
	case s.Rate <= 0:
		return fmt.Errorf("rate: %v: want queries a second", s.Rate)
	case s.Callers < 1:
		return fmt.Errorf("callers: %d: want at least 1", s.Callers)
	case s.Duration <= s.Warmup:
		return fmt.Errorf("duration: %s: want more than warmup, %s", s.Duration.Std(), s.Warmup.Std())
	case s.HotShare < 0 || s.HotShare >= 1:
		return fmt.Errorf("hot_share: %v: want 0 to 1", s.HotShare)
	}
	return nil
}
