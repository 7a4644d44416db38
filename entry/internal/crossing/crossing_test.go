package crossing_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/entry/internal/crossing"
)

// spread returns shards whose replicas are in some of the zones, the next shard's in the zones after those.
func spread(n, replicas int, zones []string, own string) []crossing.Shard {
	list := make([]crossing.Shard, n)
	for i := range list {
		for r := range replicas {
			zone := zones[(i+r)%len(zones)]
			list[i].Zones = append(list[i].Zones, zone)
			list[i].Near = list[i].Near || zone == own
		}
	}
	return list
}

// A quilter's page over 90 shards comes to a host of five zones; each shard's replicas are in three. Two shards in five
// are not in the host's zone, and one other host must bring them all; where a query is small or has a replica in each
// zone, nothing may depend on a second host.
func TestGroups(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	tests := []struct {
		name             string
		shards, replicas int
		zones            []string
		groups, through  int
	}{
		{"90 shards in three of five zones", 90, 3, zones, 1, 36},
		{"36 shards in three of four zones", 36, 3, zones[:4], 1, 9},
		{"10 shards in three of four zones", 10, 3, zones[:4], 0, 0},
		{"10 shards in each of three zones", 10, 3, zones[:3], 0, 0},
		{"90 shards in one of five zones each", 90, 1, zones, 4, 72},
		{"one shard elsewhere", 1, 1, []string{"b"}, 0, 0},
	}
	for _, test := range tests {
		groups := crossing.Groups(spread(test.shards, test.replicas, test.zones, "a"), zones[1:], 0.3)
		through := 0
		for _, g := range groups {
			through += len(g.Shards)
		}
		qt.Check(t, len(groups), qt.Equals, test.groups, qt.Commentf(test.name))
		qt.Check(t, through, qt.Equals, test.through, qt.Commentf(test.name))
	}
	qt.Check(t, crossing.Groups(spread(90, 3, zones, "a"), nil, 0.3), qt.HasLen, 0)
}

// Whatever is known of shards and zones, a shard must be asked once: in one group, in a zone that holds it and has a
// host, or directly.
func TestEachShardIsAskedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		shards := make([]crossing.Shard, rapid.IntRange(0, 120).Draw(t, "shards"))
		for i := range shards {
			shards[i].Zones = rapid.SliceOfNDistinct(zone, 0, 3, rapid.ID).Draw(t, "zones")
			shards[i].Near = slices.Contains(shards[i].Zones, "a")
		}
		hosts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"b", "c", "d"}), 0, 3, rapid.ID).Draw(t, "hosts")
		seen := map[int]bool{}
		for _, g := range crossing.Groups(shards, hosts, rapid.Float64Range(0, 1).Draw(t, "draw")) {
			if !slices.Contains(hosts, g.Zone) {
				t.Fatalf("no host takes subqueries in %s", g.Zone)
			}
			for _, i := range g.Shards {
				if seen[i] || shards[i].Near || !slices.Contains(shards[i].Zones, g.Zone) {
					t.Fatalf("shard %d of %s", i, fmt.Sprint(g))
				}
				seen[i] = true
			}
		}
	})
}

// The replicas of a shard run at equal speed, and each must get its part though no host asks them all. Of hosts in five
// zones with as many clients, no replica may get half as much again as its third.
func TestReplicasShareTheWork(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	work := map[string]float64{}
	const draws = 100
	for _, own := range zones {
		others := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == own })
		shards := spread(90, 3, zones, own)
		for n := range draws {
			for _, g := range crossing.Groups(shards, others, (float64(n)+0.5)/draws) {
				for _, i := range g.Shards {
					work[fmt.Sprint(i, g.Zone)]++
				}
			}
		}
		for i, s := range shards {
			if s.Near {
				work[fmt.Sprint(i, own)] += draws
			}
		}
	}
	for at, n := range work {
		qt.Check(t, n <= 1.5*draws*float64(len(zones))/3, qt.IsTrue, qt.Commentf("%s: %v", at, n))
	}
}
