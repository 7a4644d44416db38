package crosszone

import "slices"

// minGroupShards is the minimum number of shards of a subquery to a host in another zone. That host merges their
// results into one list of the top records, and the request is sent once: from eight shards on this takes a quarter of
// the bytes or less. With fewer shards the saving doesn't outweigh the wait for a second host, which may be slow or
// down.
const minGroupShards = 8

// Shard gives the locations of a shard's replicas.
type Shard struct {
	// Near is set where a replica is in the host's own availability zone.
	Near bool
	// Zones are the availability zones with a replica of the shard.
	Zones []string
}

// Group is the part of a query that is sent to one host in a zone.
type Group struct {
	Zone string
	// Shards are the indexes of the group's shards in the query, in ascending order.
	Shards []int
}

// Groups returns the parts of a query that are sent through a host in another zone. The zones are those with a host
// that accepts subqueries, and draw is a random number, 0 to 1. A shard in no group is queried directly.
//
// It saves traffic between zones for queries over many shards whose replicas are in some of the zones only: without a
// replica in the own zone, the whole result of a shard crosses a zone border. A host in the other zone gathers the
// results there, which adds no delay beyond that of the path between the zones, and returns only the top records of all
// of them.
func Groups(shards []Shard, zones []string, draw float64) []Group {
	remaining := make([]int, 0, len(shards))
	for i, s := range shards {
		if !s.Near {
			remaining = append(remaining, i)
		}
	}
	var groups []Group
	for len(remaining) >= minGroupShards {
		g := largest(shards, remaining, zones, draw)
		if len(g.Shards) < minGroupShards {
			break
		}
		groups = append(groups, g)
		remaining = slices.DeleteFunc(remaining, func(i int) bool { return slices.Contains(g.Shards, i) })
	}
	return groups
}

// largest returns the group of the zone that has replicas of the most remaining shards. Ties are broken at random, so
// that the replicas of all zones get their share of the load.
func largest(shards []Shard, remaining []int, zones []string, draw float64) Group {
	var best Group
	start := min(int(draw*float64(len(zones))), max(0, len(zones)-1))
	for n := range zones {
		zone := zones[(start+n)%len(zones)]
		g := Group{Zone: zone}
		for _, i := range remaining {
			if slices.Contains(shards[i].Zones, zone) {
				g.Shards = append(g.Shards, i)
			}
		}
		if len(g.Shards) > len(best.Shards) {
			best = g
		}
	}
	return best
}
