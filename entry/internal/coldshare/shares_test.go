package coldshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/coldshare"
	"guavaspring.org/entry/internal/member"
)

func hosts(n int) []member.Host {
	list := make([]member.Host, n)
	for i := range list {
		list[i] = member.Host{ID: fmt.Sprintf("h%d", i), State: member.StateAlive}
	}
	return list
}

// newShares returns the Shares of the host self, for which known is the list of all hosts and of those that serve.
func newShares(self string, known []member.Host) *coldshare.Shares {
	return coldshare.New(coldshare.Options{
		Clock: clock.System{}, Self: func() string { return self },
		Hosts:   func() (all, serving []member.Host) { return known, known },
		Settled: func() bool { return true },
	})
}

// sampledHosts is the number of hosts of a large fleet whose shares are computed. Each of them ranks all hosts, which
// takes seconds for the whole fleet.
const sampledHosts = 80

// Guards against overloading a cold replica, or leaving its capacity unused, when all hosts send to it. Shares are
// whole numbers, since a host can't send a part of a request, and must add up to the rate for any number of hosts.
func TestSharesAddUp(t *testing.T) {
	for _, n := range []int{1, 6, 73, 295, 5600} {
		for _, rate := range []float64{0.4, 1, 10, 10.9, 300} {
			list, sum := hosts(n), 0
			for i := range min(n, sampledHosts) {
				sum += newShares(list[i].ID, list).Of("i-1", rate)
			}
			c := qt.Commentf("%d hosts, %v requests per second", n, rate)
			if n <= sampledHosts {
				qt.Check(t, sum, qt.Equals, max(1, int(rate)), c)
			} else {
				qt.Check(t, sum <= max(1, int(rate)), qt.IsTrue, c)
			}
		}
	}
}

// Guards against overloading a cold replica while hosts join and leave, so that their lists differ: each host lacks
// each other one with a chance of one in six. The sum of the shares must stay within 1.5 times the rate plus five
// requests.
func TestSharesOfDifferingLists(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{6, 12, 73, 295} {
		for _, rate := range []float64{1, 5, 10, 40} {
			list, most := hosts(n), 0
			for replica := range 20 {
				sum := 0
				for i := range list {
					var known []member.Host
					for k, h := range list {
						if k == i || rng.Float64() > 1.0/6 {
							known = append(known, h)
						}
					}
					sum += newShares(list[i].ID, known).Of(fmt.Sprintf("i-%d", replica), rate)
				}
				most = max(most, sum)
			}
			qt.Check(t, float64(most) <= 1.5*rate+5, qt.IsTrue, qt.Commentf("%d hosts, %v requests per second, sum of shares %d", n, rate, most))
		}
	}
}

// Guards against a partitioned host taking the shares of the others, which keep running. A host that sees half of the
// hosts or fewer must have no share until the others have been gone for a minute.
func TestPartitionedHostHasNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := hosts(6)
		s := coldshare.New(coldshare.Options{
			Clock: clock.System{}, Self: func() string { return "h0" },
			Hosts:   func() (all, serving []member.Host) { return known, known },
			Settled: func() bool { return true },
		})
		tests := []struct {
			hosts int
			after time.Duration
			want  bool
		}{{6, 0, true}, {4, 0, true}, {3, 0, false}, {1, 30 * time.Second, false}, {1, time.Minute, true}, {6, 0, true}, {2, time.Second, false}}
		for i, test := range tests {
			time.Sleep(test.after)
			known = hosts(test.hosts)
			qt.Check(t, s.Of("i-1", 12) > 0, qt.Equals, test.want, qt.Commentf("step %d: %d hosts", i, test.hosts))
		}
	})
}

// Guards against overloading cold replicas when all hosts start at once: each knows only itself at first, and must not
// take the whole rate.
func TestHostThatHasJustStartedHasNoShare(t *testing.T) {
	settled := false
	known := hosts(1)
	s := coldshare.New(coldshare.Options{
		Clock: clock.System{}, Self: func() string { return "h0" },
		Hosts:   func() (all, serving []member.Host) { return known, known },
		Settled: func() bool { return settled },
	})
	qt.Assert(t, s.Of("i-1", 10), qt.Equals, 0)
	settled, known = true, hosts(5)
	qt.Assert(t, s.Of("i-1", 10), qt.Equals, 2)
}
