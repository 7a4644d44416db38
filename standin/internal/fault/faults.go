package fault

import (
	"encoding/json"
	"fmt"
	"io"

	"guavaspring.org/core/document"
)

// Faults is what one replica does wrong; the zero value of a field means that it does not.
type Faults struct {
	// Slow multiplies the service time of every request.
	Slow float64 `json:"slow"`
	// StragglerShare of the requests, drawn at random, take StragglerFactor times longer.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ColdFactor multiplies the service time right after a start; it decays to one over ColdFor.
	ColdFactor float64           `json:"cold_factor"`
	ColdFor    document.Duration `json:"cold_for"`
	// ShedShare of the requests, drawn at random, are shed.
	ShedShare float64 `json:"shed_share"`
	// Draining marks every reply; after RefuseAfter new requests are refused as draining.
	Draining    bool              `json:"draining"`
	RefuseAfter document.Duration `json:"refuse_after"`
	// ClaimLoad is what the load header and the health say instead of the truth, as "running/slots".
	ClaimLoad string `json:"claim_load"`
	// ClaimLag is how old the claimed load may be.
	ClaimLag document.Duration `json:"claim_lag"`
	// CrashMarker in a body crashes the replica: every connection breaks and the port is closed for CrashDown.
	CrashMarker string            `json:"crash_marker"`
	CrashDown   document.Duration `json:"crash_down"`
	// LoseReplies is how many of the next writes take effect and have their connection closed without a reply.
	LoseReplies int `json:"lose_replies"`
	// ResetBefore is how many of the next requests have their connection reset before any effect.
	ResetBefore int `json:"reset_before"`
	// Foreign is how many of the next queries are answered with the reply of an earlier request.
	Foreign int `json:"foreign"`

	// Crash, Silence and Cold act once, when they are received: crash now, let no open connection answer any more,
	// start cold.
	Crash   bool `json:"crash,omitempty"`
	Silence bool `json:"silence,omitempty"`
	Cold    bool `json:"cold,omitempty"`
}

// Patch reads a JSON object from r and returns f with the fields named in it replaced; unknown fields are errors.
func (f Faults) Patch(r io.Reader) (Faults, error) {
	f.Crash, f.Silence, f.Cold = false, false, false
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

// SlowBy returns the factor of the service time that Slow stands for, one where it is not set.
func (f Faults) SlowBy() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}
