package member

import (
	"hash/fnv"
	"net/netip"
)

// State is the state of a host in a member list.
type State string

// The states of a host, in increasing precedence among rows of the same Epoch.
const (
	// StateAlive means that the host answered a recent probe, from this host or from another.
	StateAlive State = "alive"
	// StateSuspect means that probes fail; the host may still be alive and refute the suspicion.
	StateSuspect State = "suspect"
	// StateLeaving means that the host announced its stop: it still serves, but clients aren't directed to it.
	StateLeaving State = "leaving"
	// StateDead means that no probe reached the host; only the host itself reverts this, by a row with a higher Epoch.
	StateDead State = "dead"
)

var stateRank = map[State]int{StateAlive: 0, StateSuspect: 1, StateLeaving: 2, StateDead: 3}

// Host is the row of one entry host in the member list.
type Host struct {
	// ID identifies one incarnation of the process: it is drawn at random at each start and never reused.
	ID string `json:"id"`
	// Caller is the address for clients, Peer the one for other hosts.
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	// Cores is the number of processor cores, LinkBits the bandwidth of the link in bits per second; zero if unknown.
	Cores    float64 `json:"cores,omitempty"`
	LinkBits float64 `json:"link_bits,omitempty"`
	// Epoch is raised by the host itself when it leaves or refutes a row about it; the row with the higher one wins.
	Epoch uint64 `json:"epoch"`
	State State  `json:"state"`
	// Load is the share of the admission capacity in use, 0 to 1, as of LoadSeq. It is sent separately from the state,
	// which changes far less often.
	Load    float64 `json:"load"`
	LoadSeq uint64  `json:"load_seq"`
}

// newer reports whether h overrides old: by a higher Epoch, or within one Epoch by a state of higher precedence.
func (h Host) newer(old Host) bool {
	if h.Epoch != old.Epoch {
		return h.Epoch > old.Epoch
	}
	return stateRank[h.State] > stateRank[old.State]
}

// valid reports whether h may enter a list; rows come from other processes, which may run another version or have
// corrupted memory.
func (h Host) valid() bool {
	_, known := stateRank[h.State]
	return known && h.Epoch <= maxEpoch && h.ID != "" && len(h.ID) <= maxNameBytes && h.Peer.IsValid() && len(h.Zone) <= maxNameBytes && len(h.Region) <= maxNameBytes
}

// maxEpoch is above any epoch that a host reaches by refuting rows, one at a time. The host that a row names has to be able to
// refute it by a higher epoch.
const maxEpoch = 1 << 32

// maxNameBytes is the maximum length of an ID, a zone or a region in bytes.
const maxNameBytes = 64

// Key returns the 64-bit hash that replaces the host's ID in digests and load reports.
func (h Host) Key() uint64 { return hashOf(h.ID) }

func hashOf(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		// Writing to a hash returns no error.
		_, _ = f.Write([]byte(p))
		_, _ = f.Write([]byte{0})
	}
	return mix(f.Sum64())
}

// mix spreads every input bit over the word: FNV leaves the high bits of short strings alike, and ranks and digest
// prefixes use those.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
