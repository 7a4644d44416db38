package member

import (
	"hash/fnv"
	"net/netip"
)

// State says what this host believes of another host.
type State string

// The states of a host, in the order in which they win among words of the same Epoch.
const (
	// StateAlive means that the host answered a probe lately, its own or another host's.
	StateAlive State = "alive"
	// StateSuspect means that probes fail; it may still be alive and say so.
	StateSuspect State = "suspect"
	// StateLeaving means that the host said it is stopping: it still serves and is not handed out.
	StateLeaving State = "leaving"
	// StateDead means that nobody could reach the host; only its own word under a higher Epoch brings it back.
	StateDead State = "dead"
)

var stateRank = map[State]int{StateAlive: 0, StateSuspect: 1, StateLeaving: 2, StateDead: 3}

// Host is one entry host as the others know it.
type Host struct {
	// ID names one incarnation of the process: it is drawn at random at each start and never comes back.
	ID string `json:"id"`
	// Caller is the address for callers, Peer the one for other hosts.
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	// Cores and LinkBits are the processor cores, and the bits a second of its link, that the host has; zero where it
	// doesn't say.
	Cores    float64 `json:"cores,omitempty"`
	LinkBits float64 `json:"link_bits,omitempty"`
	// Epoch grows each time the host speaks about its state; the higher one wins.
	Epoch uint64 `json:"epoch"`
	State State  `json:"state"`
	// Load is the share of its admission capacity in use, 0 to 1, as of LoadSeq; it is told apart from the state, which
	// changes far less often.
	Load    float64 `json:"load"`
	LoadSeq uint64  `json:"load_seq"`
}

// newer reports whether h overrides old: by the host's own Epoch, or within one Epoch by the graver state.
func (h Host) newer(old Host) bool {
	if h.Epoch != old.Epoch {
		return h.Epoch > old.Epoch
	}
	return stateRank[h.State] > stateRank[old.State]
}

// valid reports whether h may enter a list; rows come from other processes, whose version or memory may be wrong.
func (h Host) valid() bool {
	_, known := stateRank[h.State]
	return known && h.ID != "" && len(h.ID) <= maxID && h.Peer.IsValid() && len(h.Zone) <= maxID && len(h.Region) <= maxID
}

const maxID = 64

// Key is the 64-bit hash that stands for the host's ID in digests and load marks.
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

// mix spreads every input bit over the word, since FNV leaves the high bits of short strings alike and rank and prefix
// use those.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
