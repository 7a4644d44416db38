package snapshot

import "guavaspring.org/entry/internal/replica"

// wantHolders is how many replicas of a shard should hold a version before queries move to it: with one, a single slow replica has no alternative.
const wantHolders = 2

// Pick returns the version that a query is pinned to, or false where no version is known.
//
// It takes the newest version that every shard holds at least twice, else the newest that every shard
// holds, else the one with the largest share of shards held, the newer on a tie. Without the first rule
// the whole load of a shard would move to the first replica that received a new version.
func Pick(view *replica.View) (replica.VersionMap, bool) {
	var best replica.VersionMap
	bestRank, found := rank{}, false
	for _, vm := range view.Versions {
		r := rankOf(vm)
		if !found || r.better(bestRank) {
			best, bestRank, found = vm, r, true
		}
	}
	return best, found
}

// rank orders versions; those compared later are older and must be strictly better.
type rank struct {
	least int
	share float64
}

func (r rank) better(other rank) bool {
	if r.least != other.least {
		return r.least > other.least
	}
	return r.least == 0 && r.share > other.share
}

func rankOf(vm replica.VersionMap) rank {
	least, held := wantHolders, 0
	for _, holders := range vm.Holders {
		least = min(least, len(holders))
		if len(holders) > 0 {
			held++
		}
	}
	return rank{least: least, share: float64(held) / float64(len(vm.Holders))}
}
