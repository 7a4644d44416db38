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

// of returns the shares of a host that knows some others, all of which serve.
func of(self string, known []member.Host) *coldshare.Shares {
	return coldshare.New(coldshare.Options{
		Clock: clock.System{}, Self: func() string { return self },
		Hosts:   func() (all, serving []member.Host) { return known, known },
		Settled: func() bool { return true },
	})
}

// asked is how many hosts of a large fleet are asked; ranking all of them for each takes seconds.
const asked = 80

// A zone comes back cold, and all hosts send there. Whatever their number, the replica must get what it bears and no
// more, and what hosts are allowed must be a whole number: none can send a part of a request.
func TestSharesAddUp(t *testing.T) {
	for _, n := range []int{1, 6, 73, 295, 5600} {
		for _, bears := range []float64{0.4, 1, 10, 10.9, 300} {
			list, sum := hosts(n), 0
			for i := range min(n, asked) {
				sum += of(list[i].ID, list).Of("i-1", bears)
			}
			c := qt.Commentf("%d hosts, %v a second", n, bears)
			if n <= asked {
				qt.Check(t, sum, qt.Equals, max(1, int(bears)), c)
			} else {
				qt.Check(t, sum <= max(1, int(bears)), qt.IsTrue, c)
			}
		}
	}
}

// Hosts come and go while a zone comes back, and each host has another list: it lacks up to a sixth of the others.
// Together they must stay within half as much again and five requests more than the replica bears.
func TestSharesOfListsThatDiffer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{6, 12, 73, 295} {
		for _, bears := range []float64{1, 5, 10, 40} {
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
					sum += of(list[i].ID, known).Of(fmt.Sprintf("i-%d", replica), bears)
				}
				most = max(most, sum)
			}
			qt.Check(t, float64(most) <= 1.5*bears+5, qt.IsTrue, qt.Commentf("%d hosts, %v a second: %d", n, bears, most))
		}
	}
}

// A part of the hosts is cut off from the others, who are all alive and go on. Whoever sees half of them or less must
// send a cold replica nothing, and may again once those have been gone for so long that they are not coming back.
func TestHostCutOffHasNoShare(t *testing.T) {
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

// All hosts start at once beside replicas that are cold. Each knows only itself at first, and must not send what is
// meant for all.
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
