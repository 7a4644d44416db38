package crosszone_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/entry/internal/crosszone"
)

// spread returns shards with the given number of replicas each, placed round robin over the zones.
func spread(n, replicas int, zones []string, own string) []crosszone.Shard {
	list := make([]crosszone.Shard, n)
	for i := range list {
		for r := range replicas {
			zone := zones[(i+r)%len(zones)]
			list[i].Zones = append(list[i].Zones, zone)
			list[i].Near = list[i].Near || zone == own
		}
	}
	return list
}

// Guards against subqueries that are too many or too small. A query over 90 shards is sent to a host in one of five
// zones, and each shard has replicas in three of them. The two in five shards without a replica in the host's zone must
// all be gathered by one other host. A query over few shards, or with a replica of each shard in the own zone, must not
// depend on a second host.
func TestGroups(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	tests := []struct {
		name             string
		shards, replicas int
		zones            []string
		groups, grouped  int
	}{
		{"90 shards in three of five zones", 90, 3, zones, 1, 36},
		{"36 shards in three of four zones", 36, 3, zones[:4], 1, 9},
		{"10 shards in three of four zones", 10, 3, zones[:4], 0, 0},
		{"10 shards in each of three zones", 10, 3, zones[:3], 0, 0},
		{"90 shards in one of five zones each", 90, 1, zones, 4, 72},
		{"one shard elsewhere", 1, 1, []string{"b"}, 0, 0},
	}
	for _, test := range tests {
		groups := crosszone.Groups(spread(test.shards, test.replicas, test.zones, "a"), zones[1:], 0.3)
		grouped := 0
		for _, g := range groups {
			grouped += len(g.Shards)
		}
		qt.Check(t, len(groups), qt.Equals, test.groups, qt.Commentf(test.name))
		qt.Check(t, grouped, qt.Equals, test.grouped, qt.Commentf(test.name))
	}
	qt.Check(t, crosszone.Groups(spread(90, 3, zones, "a"), nil, 0.3), qt.HasLen, 0)
}

// Guards against shards that are queried twice or through the wrong zone: each shard must be in at most one group,
// whose zone has a replica of it and a host that accepts subqueries, and is queried directly otherwise.
func TestEachShardIsQueriedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		shards := make([]crosszone.Shard, rapid.IntRange(0, 120).Draw(t, "shards"))
		for i := range shards {
			shards[i].Zones = rapid.SliceOfNDistinct(zone, 0, 3, rapid.ID).Draw(t, "zones")
			shards[i].Near = slices.Contains(shards[i].Zones, "a")
		}
		hosts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"b", "c", "d"}), 0, 3, rapid.ID).Draw(t, "hosts")
		seen := map[int]bool{}
		for _, g := range crosszone.Groups(shards, hosts, rapid.Float64Range(0, 1).Draw(t, "draw")) {
			if !slices.Contains(hosts, g.Zone) {
				t.Fatalf("group in zone %s, where no host accepts subqueries", g.Zone)
			}
			for _, i := range g.Shards {
				if seen[i] || shards[i].Near || !slices.Contains(shards[i].Zones, g.Zone) {
					t.Fatalf("shard %d is wrong or repeated in group %s", i, fmt.Sprint(g))
				}
				seen[i] = true
			}
		}
	})
}

// Guards against uneven load on the replicas of a shard, which are equally fast, although no host uses all of them.
// With equally many clients on the hosts of five zones, no replica may get more than one and a half times its third of
// the load.
func TestReplicasShareTheLoad(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	load := map[string]float64{}
	const draws = 100
	for _, own := range zones {
		others := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == own })
		shards := spread(90, 3, zones, own)
		for n := range draws {
			for _, g := range crosszone.Groups(shards, others, (float64(n)+0.5)/draws) {
				for _, i := range g.Shards {
					load[fmt.Sprint(i, g.Zone)]++
				}
			}
		}
		for i, s := range shards {
			if s.Near {
				load[fmt.Sprint(i, own)] += draws
			}
		}
	}
	for at, n := range load {
		qt.Check(t, n <= 1.5*draws*float64(len(zones))/3, qt.IsTrue, qt.Commentf("%s: %v", at, n))
	}
}
