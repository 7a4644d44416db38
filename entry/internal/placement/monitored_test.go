package placement_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/placement"
)

// Guards against hosts that nobody monitors. Clients are directed to six hosts of a fleet, or to all of a thousand.
// Each of these must be monitored by four others whatever the size of the fleet, and a weak host by none. A suspect
// host must stay monitored, or it would not be used again after its recovery.
func TestWatched(t *testing.T) {
	tests := []struct{ strong, weak, watched int }{{6, 65, 4}, {1000, 0, 4}, {3, 65, 4}, {0, 3, 2}, {1, 0, 0}}
	for _, test := range tests {
		hosts := fleet(test.strong, test.weak)
		hosts[0].State = member.StateSuspect
		monitors := map[string]int{}
		for _, h := range hosts {
			for _, w := range placement.Monitored(hosts, h.ID) {
				monitors[w.ID]++
			}
		}
		c := qt.Commentf("%d strong, %d weak", test.strong, test.weak)
		qt.Check(t, monitors[hosts[0].ID], qt.Equals, test.watched, c)
		for id, n := range monitors {
			qt.Check(t, n, qt.Equals, test.watched, c)
			if test.strong >= 5 {
				qt.Check(t, id[0], qt.Equals, byte('s'), c)
			}
		}
	}
}
