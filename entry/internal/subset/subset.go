package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaspring.org/entry/internal/member"
)

const (
	// maxSameZone and maxOtherZones are the numbers of replicas that a host uses in its own zone and in other zones.
	// Those in other zones serve second attempts, and all attempts while the host's own zone has no replica left.
	maxSameZone, maxOtherZones = 5, 3
	// maxWithoutSameZone is the number of replicas used by a host whose zone has none.
	maxWithoutSameZone = maxSameZone + maxOtherZones
)

// Replica is a candidate for a host's subset.
type Replica struct{ ID, Zone string }

// Choose returns the indexes in replicas of those that the host with ID self uses. It returns all indexes where self is
// not in hosts.
//
// Without subsetting, a replica of a large fleet gets an occasional request from each of very many hosts. No host sees
// enough of its attempts to detect that it is slow, and each finds its connection closed since the last use and opens a
// new one per request, which costs more than most of the work. A host that uses few replicas has enough samples of
// each, and its connections stay open.
//
// Hosts compute their subsets independently, and no replica is in many more subsets than another: host-replica pairs
// are taken in the order of a hash of both IDs until a host has enough replicas or a replica has its share of hosts. A
// host or replica that joins or leaves changes few of the other assignments.
func Choose(self string, hosts []member.Host, replicas []Replica) []int {
	return Cover(self, hosts, replicas, 0)
}

// Cover is Choose where each replica is used by at least minHosts hosts, or by all of the zone. Where hosts are few, the
// numbers of hosts of two replicas differ by a factor of two otherwise, and so does their load.
func Cover(self string, hosts []member.Host, replicas []Replica, minHosts int) []int {
	i := slices.IndexFunc(hosts, func(h member.Host) bool { return h.ID == self })
	if i < 0 {
		return allIndexes(replicas)
	}
	zone := hosts[i].Zone
	var sameZone, otherZones []int
	for n, r := range replicas {
		if r.Zone == zone {
			sameZone = append(sameZone, n)
		} else {
			otherZones = append(otherZones, n)
		}
	}
	if len(sameZone) == 0 {
		alone := withoutReplicas(hosts, replicas)
		return assign(self, alone, replicas, otherZones, perHost(maxWithoutSameZone, len(otherZones), len(alone), minHosts), minHosts)
	}
	zoneHosts := slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return h.Zone != zone })
	return append(
		assign(self, zoneHosts, replicas, sameZone, perHost(maxSameZone, len(sameZone), len(zoneHosts), minHosts), minHosts),
		assign(self, zoneHosts, replicas, otherZones, perHost(maxOtherZones, len(otherZones), len(zoneHosts), minHosts), minHosts)...,
	)
}

// perHost returns the number of replicas for each host, at least least, such that each replica has minHosts hosts on average.
func perHost(least, replicas, hosts, minHosts int) int {
	return max(least, (minHosts*replicas+hosts-1)/hosts)
}

func allIndexes(replicas []Replica) []int {
	list := make([]int, len(replicas))
	for i := range list {
		list[i] = i
	}
	return list
}

// withoutReplicas returns the hosts whose zones have no replica.
func withoutReplicas(hosts []member.Host, replicas []Replica) []member.Host {
	zones := map[string]bool{}
	for _, r := range replicas {
		zones[r.Zone] = true
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return zones[h.Zone] })
}

// pair is a host and a replica, given by their indexes, with the hash that orders all pairs.
type pair struct {
	rank          uint64
	host, replica int
}

// assign returns the replicas, given by their indexes in candidates, that are assigned to self where each of the hosts
// gets the given number of them, and one more where a replica would have fewer than minHosts hosts otherwise.
func assign(self string, hosts []member.Host, replicas []Replica, candidates []int, perHost, minHosts int) []int {
	if len(candidates) <= perHost {
		return candidates
	}
	pairs := make([]pair, 0, len(hosts)*len(candidates))
	for i := range hosts {
		for _, n := range candidates {
			pairs = append(pairs, pair{rank: xxhash.Sum64String(hosts[i].ID + "\x00" + replicas[n].ID), host: i, replica: n})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host, b.host), cmp.Compare(a.replica, b.replica))
	})
	// Caps the hosts per replica at an even share of all assignments, rounded up.
	maxPerReplica := (perHost*len(hosts) + len(candidates) - 1) / len(candidates)
	hostCounts, replicaCounts := make([]int, len(hosts)), make([]int, len(replicas))
	var list []int
	use := func(p pair) {
		hostCounts[p.host]++
		replicaCounts[p.replica]++
		if hosts[p.host].ID == self {
			list = append(list, p.replica)
		}
	}
	var left []pair
	for _, p := range pairs {
		if hostCounts[p.host] == perHost || replicaCounts[p.replica] == maxPerReplica {
			if minHosts > 0 {
				left = append(left, p)
			}
			continue
		}
		use(p)
	}
	for _, p := range left {
		if replicaCounts[p.replica] < minHosts {
			use(p)
		}
	}
	return list
}
