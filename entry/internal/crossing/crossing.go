package crossing

import "slices"

// leastShards is how many shards a host in another zone is asked for at least. Their parts come back as one page of the
// greatest records, and the request goes there once: from eight shards on that is a quarter of the bytes or less, and
// below it the wait for a second host, which may be slow or gone, buys little.
const leastShards = 8

// Shard is what is known of one shard where a query comes.
type Shard struct {
	// Near says that a replica is in the host's own availability zone.
	Near bool
	// Zones are the availability zones that hold a replica.
	Zones []string
}

// Group is a part of a query that goes to one host in a zone.
type Group struct {
	Zone string
	// Shards are the places of its shards in the query, in rising order.
	Shards []int
}

// Groups returns the parts of a query that are asked through a host in another zone, where zones have hosts that take
// them and draw is a random number, 0 to 1. A shard that is in none is asked directly.
//
// It answers queries over many shards each of which has its replicas in some of the zones: for those without a near one
// whole parts cross the border. A host there gathers them in its own zone, at no more delay than the way there takes
// anyway, and sends on the greatest records of all of them.
func Groups(shards []Shard, zones []string, draw float64) []Group {
	left := make([]int, 0, len(shards))
	for i, s := range shards {
		if !s.Near {
			left = append(left, i)
		}
	}
	var groups []Group
	for len(left) >= leastShards {
		g := largest(shards, left, zones, draw)
		if len(g.Shards) < leastShards {
			break
		}
		groups = append(groups, g)
		left = slices.DeleteFunc(left, func(i int) bool { return slices.Contains(g.Shards, i) })
	}
	return groups
}

// largest returns the group of the zone that holds most of the shards left. Of zones that hold as many each one is
// drawn as often, so that the replicas of all zones have their part of the work.
func largest(shards []Shard, left []int, zones []string, draw float64) Group {
	var best Group
	first := min(int(draw*float64(len(zones))), max(0, len(zones)-1))
	for n := range zones {
		zone := zones[(first+n)%len(zones)]
		g := Group{Zone: zone}
		for _, i := range left {
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
