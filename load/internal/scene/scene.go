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

// Scene is one experiment.
type Scene struct {
	// Name is also the name of its file, and About says in a sentence what happens.
	Name  string `yaml:"name"`
	About string `yaml:"about"`
	// Service is queried at Rate a second by Callers callers for Duration; what was scheduled during Warmup is not
	// counted.
	Service  string            `yaml:"service"`
	Rate     float64           `yaml:"rate"`
	Callers  int               `yaml:"callers"`
	Duration document.Duration `yaml:"duration"`
	Warmup   document.Duration `yaml:"warmup"`
	Deadline document.Duration `yaml:"deadline"`
	Limit    int               `yaml:"limit"`
	// HotShare of the queries come from one caller.
	HotShare float64 `yaml:"hot_share"`
	// RetryRefused lets callers send a refused query once more when the refusal says so.
	RetryRefused bool `yaml:"retry_refused"`
	// Writes are sent beside the queries.
	Writes Writes `yaml:"writes"`
	// Poison is a query that crashes each replica that runs it, sent again and again.
	Poison Poison `yaml:"poison"`
	// Policies names the policies that the scene is run for, all where it is empty.
	Policies []string `yaml:"policies"`
	// Faults are set in the course of the run.
	Faults []Fault `yaml:"faults"`
	// Reference changes the scene into the one that its ratios are taken against, such as the same without the fault;
	// nil for none.
	Reference *Reference `yaml:"reference"`
	// Aims are what the table compares the runs with.
	Aims []Aim `yaml:"aims"`
	// Action is what the script that starts the processes does in the course of the run, such as kill_host.
	Action string `yaml:"action"`
}

// Reference is a run without the scene's faults and action, at a rate of its own and without a hot caller.
type Reference struct {
	Rate float64 `yaml:"rate"`
}

// AsReference returns the scene that the ratios of s are taken against.
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
	// Measure names the figure: see report.Measures.
	Measure string   `yaml:"measure"`
	AtMost  *float64 `yaml:"at_most"`
	AtLeast *float64 `yaml:"at_least"`
}

// Met reports whether v is within the bounds.
func (a Aim) Met(v float64) bool {
	return (a.AtMost == nil || v <= *a.AtMost) && (a.AtLeast == nil || v >= *a.AtLeast)
}

// Bounds returns the bounds in words.
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

// Writes describes the writes of a scene.
type Writes struct {
	Service string  `yaml:"service"`
	Rate    float64 `yaml:"rate"`
}

// Poison is a marked query that its caller keeps sending, to one host after another; its answers are not counted.
type Poison struct {
	Text  string            `yaml:"text"`
	At    document.Duration `yaml:"at"`
	Every document.Duration `yaml:"every"`
	Times int               `yaml:"times"`
}

// Fault is set at a time of the run.
type Fault struct {
	At document.Duration `yaml:"at"`
	// Service and Replicas say where; a fault without a service is the platform's.
	Service  string `yaml:"service"`
	Replicas []int  `yaml:"replicas"`
	// Set is the body of the stand-in's /control/faults.
	Set map[string]any `yaml:"set"`
}

// Body returns the fault as the stand-ins take it.
func (f Fault) Body() (json.RawMessage, error) {
	b, err := json.Marshal(f.Set)
	if err != nil {
		return nil, fmt.Errorf("fault at %s: %w", f.At.Std(), err)
	}
	return b, nil
}

// Read returns the scene in the file.
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
