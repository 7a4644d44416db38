package placement

import (
	"slices"

	"guavaspring.org/entry/internal/member"
)

// monitorsPerHost is the number of hosts that monitor each serving host: enough that some are left after the loss of
// one of three zones, and few enough that a host's cost for it doesn't grow with the fleet.
const monitorsPerHost = 4

// Monitored returns the hosts that the host with the given ID monitors: its successors in the ring of serving hosts, if
// it is one of them, so that each host is monitored by equally many. Suspect hosts keep their place in the ring, so
// that their recovery is detected.
func Monitored(hosts []member.Host, id string) []member.Host {
	ring := member.Ranked(serving(hosts, true), "watched")
	own := slices.IndexFunc(ring, func(h member.Host) bool { return h.ID == id })
	if own < 0 {
		return nil
	}
	list := make([]member.Host, 0, monitorsPerHost)
	for n := 1; n < len(ring) && len(list) < monitorsPerHost; n++ {
		list = append(list, ring[(own+n)%len(ring)])
	}
	return list
}
