package placement

import (
	"slices"

	"guavaspring.org/entry/internal/member"
)

// watchedBy is how many hosts look after each host that clients are sent to: enough that some are left when a zone of
// three is lost, and few enough that what a host does for it stays the same in any fleet.
const watchedBy = 4

// Watched returns the hosts that the host with an id looks after: the next ones in the order of the hosts that clients
// are sent to, if it is one of them, so that each is looked after by as many. Those that are suspected are among them,
// which keep their place and are found again.
func Watched(hosts []member.Host, id string) []member.Host {
	ring := member.Ranked(serving(hosts, true), "watched")
	own := slices.IndexFunc(ring, func(h member.Host) bool { return h.ID == id })
	if own < 0 {
		return nil
	}
	list := make([]member.Host, 0, watchedBy)
	for n := 1; n < len(ring) && len(list) < watchedBy; n++ {
		list = append(list, ring[(own+n)%len(ring)])
	}
	return list
}
