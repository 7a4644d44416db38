package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaspring.org/entry/internal/member"
)

const (
	// mostNear and mostFar are the numbers of replicas that a host uses in its own zone and in other zones. Those in
	// other zones serve second attempts, and all attempts while the host's own zone has no replica left.
	mostNear, mostFar = 5, 3
	// mostAnywhere is the number of replicas used by a host whose zone has none.
	mostAnywhere = mostNear + mostFar
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
	i := slices.IndexFunc(hosts, func(h member.Host) bool { return h.ID == self })
	if i < 0 {
		return all(replicas)
	}
	zone := hosts[i].Zone
	var near, far []int
	for n, r := range replicas {
		if r.Zone == zone {
			near = append(near, n)
		} else {
			far = append(far, n)
		}
	}
	if len(near) == 0 {
		return match(self, without(hosts, replicas), replicas, far, mostAnywhere)
	}
	beside := slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return h.Zone != zone })
	return append(match(self, beside, replicas, near, mostNear), match(self, beside, replicas, far, mostFar)...)
}

func all(replicas []Replica) []int {
	list := make([]int, len(replicas))
	for i := range list {
		list[i] = i
	}
	return list
}

// without returns the hosts whose zones have no replica.
func without(hosts []member.Host, replicas []Replica) []member.Host {
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

// match returns the replicas, given by their indexes in among, that are assigned to self where each of the hosts gets
// the given number of them.
func match(self string, hosts []member.Host, replicas []Replica, among []int, number int) []int {
	if len(among) <= number {
		return among
	}
	pairs := make([]pair, 0, len(hosts)*len(among))
	for i := range hosts {
		for _, n := range among {
			pairs = append(pairs, pair{rank: xxhash.Sum64String(hosts[i].ID + "\x00" + replicas[n].ID), host: i, replica: n})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host, b.host), cmp.Compare(a.replica, b.replica))
	})
	// Caps the hosts per replica at an even share of all assignments, rounded up.
	part := (number*len(hosts) + len(among) - 1) / len(among)
	has, chosen := make([]int, len(hosts)), make([]int, len(replicas))
	var list []int
	for _, p := range pairs {
		if has[p.host] == number || chosen[p.replica] == part {
			continue
		}
		has[p.host]++
		chosen[p.replica]++
		if hosts[p.host].ID == self {
			list = append(list, p.replica)
		}
	}
	return list
}
