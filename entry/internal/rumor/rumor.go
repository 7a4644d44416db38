package rumor

import "time"

// Kind is the kind of fact that a rumor states.
type Kind string

// The kinds of rumors.
const (
	// KindQuarantine marks a request fingerprint that crashes upstreams; Key is the fingerprint.
	KindQuarantine Kind = "quarantine"
	// KindDraining marks a replica that is draining; Key is the replica's ID.
	KindDraining Kind = "draining"
)

// MaxBodyBytes is the maximum size of Body in bytes: rumors are sent inside probes.
const MaxBodyBytes = 512

// Rumor is one fact; among rumors of the same Kind, Service and Key the one with the highest Number wins.
type Rumor struct {
	Kind    Kind      `json:"kind"`
	Service string    `json:"service"`
	Key     string    `json:"key"`
	Number  uint64    `json:"number"`
	Expires time.Time `json:"expires"`
	Body    []byte    `json:"body,omitempty"`
}
