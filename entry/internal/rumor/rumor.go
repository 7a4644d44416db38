package rumor

import "time"

// Kind says what a rumor is about.
type Kind string

// The kinds of rumors.
const (
	// KindQuarantine marks a request fingerprint that crashes upstreams; Key is the fingerprint.
	KindQuarantine Kind = "quarantine"
	// KindDraining marks a replica that is leaving; Key is the replica's ID.
	KindDraining Kind = "draining"
)

// MaxBody is the most bytes that Body may hold: rumors travel inside probes.
const MaxBody = 512

// Rumor is one fact; among rumors of the same Kind and Key the highest Number wins.
type Rumor struct {
	Kind    Kind      `json:"kind"`
	Service string    `json:"service"`
	Key     string    `json:"key"`
	Number  uint64    `json:"number"`
	Expires time.Time `json:"expires"`
	Body    []byte    `json:"body,omitempty"`
}
