package fault

import (
	"encoding/json"
	"fmt"
	"io"

	"guavaspring.org/core/document"
)

// Faults holds the faults of one replica; the zero value of a field disables its fault.
type Faults struct {
	// Slow multiplies the service time of every request.
	Slow float64 `json:"slow"`
	// StragglerShare is the share of requests, chosen at random, whose service time is multiplied by StragglerFactor.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ColdFactor multiplies the service time after a start; it decreases linearly to one over ColdFor.
	ColdFactor float64           `json:"cold_factor"`
	ColdFor    document.Duration `json:"cold_for"`
	// ShedShare is the share of requests, chosen at random, that are shed.
	ShedShare float64 `json:"shed_share"`
	// Draining marks every reply as draining; after RefuseAfter, new requests are refused as draining.
	Draining    bool              `json:"draining"`
	RefuseAfter document.Duration `json:"refuse_after"`
	// ClaimLoad replaces the actual load in the load header and the health reply, as "running/slots".
	ClaimLoad string `json:"claim_load"`
	// ClaimLag is the maximum age of the reported load.
	ClaimLag document.Duration `json:"claim_lag"`
	// CrashMarker is a text whose occurrence in a body crashes the replica: all connections are reset and the port is
	// closed for CrashDown.
	CrashMarker string            `json:"crash_marker"`
	CrashDown   document.Duration `json:"crash_down"`
	// LoseReplies is the number of next writes that take effect but whose connection is closed without a reply.
	LoseReplies int `json:"lose_replies"`
	// ResetBefore is the number of next requests whose connection is closed before they have any effect.
	ResetBefore int `json:"reset_before"`
	// Foreign is the number of next queries that get the reply of an earlier request.
	Foreign int `json:"foreign"`

	// Crash, Silence and Cold act once, on receipt: Crash crashes the replica, Silence drops all further replies on the
	// connections that are open, Cold restarts the time of ColdFor.
	Crash   bool `json:"crash,omitempty"`
	Silence bool `json:"silence,omitempty"`
	Cold    bool `json:"cold,omitempty"`
}

// Patch decodes a JSON object from r and returns f with the fields in it replaced; unknown fields are errors.
func (f Faults) Patch(r io.Reader) (Faults, error) {
	f.Crash, f.Silence, f.Cold = false, false, false
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

// SlowBy returns the factor of the service time: Slow, or one if it is not set.
func (f Faults) SlowBy() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}
