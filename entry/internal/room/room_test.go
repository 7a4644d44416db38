package room_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/room"
)

// A burst meets replicas of seven slots, and each host fills them as far as it may. The replicas' queues must stay as short as with six hosts,
// whatever the number of hosts, down to one request for each; when the burst is over no host may be held to one where six slots are unused.
func TestRoomAtAReplica(t *testing.T) {
	tests := []struct {
		hosts, slots      int
		queues, withoutIt int
	}{
		{6, 5, 2, 3}, {6, 0, 2, 2}, {15, 7, 1, 4}, {84, 4, 1, 2}, {295, 7, 1, 4}, {5600, 7, 1, 4}, {1, 7, 14, 14},
	}
	for _, test := range tests {
		part := 1 / float64(test.hosts)
		c := qt.Commentf("%d hosts, %d slots", test.hosts, test.slots)
		qt.Check(t, room.Most(test.slots, part, true), qt.Equals, test.queues, c)
		qt.Check(t, room.Most(test.slots, part, false), qt.Equals, test.withoutIt, c)
	}
}
