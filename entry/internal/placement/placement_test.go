package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/placement"
)

func fleet(strong, weak int) []member.Host {
	var list []member.Host
	for i := range strong {
		list = append(list, member.Host{ID: fmt.Sprintf("s%d", i), State: member.StateAlive, Cores: 0.8, LinkBits: 140e6})
	}
	for i := range weak {
		list = append(list, member.Host{ID: fmt.Sprintf("w%d", i), State: member.StateAlive, Cores: 0.192, LinkBits: 14e6})
	}
	return list
}

// Guards against a deployment that grows by many weak hosts and directs clients to them. Clients must go to the strong
// hosts as long as there are enough to lose one, and to the weak hosts once the strong ones are gone.
func TestServing(t *testing.T) {
	tests := []struct{ strong, weak, want int }{{6, 65, 6}, {8, 82, 8}, {3, 65, 5}, {0, 65, 65}, {6, 0, 6}, {1, 0, 1}, {0, 0, 0}}
	for _, test := range tests {
		got := placement.Serving(fleet(test.strong, test.weak))
		qt.Check(t, len(got), qt.Equals, test.want, qt.Commentf("%d strong, %d weak", test.strong, test.weak))
	}
	leaving := fleet(6, 65)
	leaving[0].State, leaving[1].State = member.StateLeaving, member.StateDead
	for _, h := range placement.Serving(leaving) {
		qt.Check(t, h.State, qt.Equals, member.StateAlive)
	}
}

// Guards against hosts that are chosen for their many cores although their links are slow: responses are large, and on
// a slow link the transfer of the shards' records alone exceeds the latency objective. Where no host reports its cores
// and link rate, all hosts are equal.
func TestServingHostsNeedCoresAndLink(t *testing.T) {
	var hosts []member.Host
	for i := range 6 {
		hosts = append(hosts,
			member.Host{ID: fmt.Sprintf("both%d", i), State: member.StateAlive, Cores: 0.8, LinkBits: 200e6},
			member.Host{ID: fmt.Sprintf("cores%d", i), State: member.StateAlive, Cores: 4, LinkBits: 20e6},
			member.Host{ID: fmt.Sprintf("unknown%d", i), State: member.StateAlive})
	}
	for _, h := range placement.Serving(hosts) {
		qt.Check(t, h.LinkBits, qt.Equals, 200e6, qt.Commentf(h.ID))
	}
	for i := range hosts {
		hosts[i].Cores, hosts[i].LinkBits = 0, 0
	}
	qt.Check(t, placement.Serving(hosts), qt.HasLen, len(hosts))
}

// Guards against shares that exceed the limit in total, for hosts that agree on the member list.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(0, 10).Draw(t, "strong"), rapid.IntRange(0, 100).Draw(t, "weak"))
		for i := range hosts {
			hosts[i].State = rapid.SampledFrom([]member.State{member.StateAlive, member.StateSuspect, member.StateLeaving}).Draw(t, "state")
		}
		sum := 0.0
		for _, h := range hosts {
			sum += placement.Share(hosts, h.ID, rapid.IntRange(1, 3).Draw(t, "least"))
		}
		if sum > 1+1e-9 {
			t.Fatalf("the shares of %d hosts add up to %v", len(hosts), sum)
		}
	})
}
