package member

import "net/netip"

// State says what this host believes of another host.
type State string

// The states of a host; a host that was dead comes back only under a new ID.
const (
	// StateAlive means that the host answered a probe lately, its own or another host's.
	StateAlive State = "alive"
	// StateSuspect means that probes fail; it may still be alive and say so.
	StateSuspect State = "suspect"
	// StateLeaving means that the host said it is stopping: it still serves and is not handed out.
	StateLeaving State = "leaving"
	// StateDead means that the host is gone for good under this ID.
	StateDead State = "dead"
)

// Host is one entry host as the others know it.
type Host struct {
	// ID names one incarnation of the process: it is drawn at random at each start and never comes back.
	ID string `json:"id"`
	// Caller is the address for callers, Peer the one for other hosts.
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	// Epoch grows each time the host speaks about itself; the higher one wins.
	Epoch uint64 `json:"epoch"`
	State State  `json:"state"`
	// Load is the share of its admission capacity in use, 0 to 1, as of Epoch.
	Load float64 `json:"load"`
}
