package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaspring.org/entry/internal/member"
)

const (
	// mostNear and mostFar are how many replicas in its own zone, and in the others, a host keeps to. The far ones are
	// for second tries and for the time in which a zone has none left.
	mostNear, mostFar = 5, 3
	// mostAnywhere is how many a host keeps to whose zone has none.
	mostAnywhere = mostNear + mostFar
)

// Replica is one that a host may keep to.
type Replica struct{ ID, Zone string }

// Choose returns the places in replicas of those that a host with an id keeps to, which is one of some hosts; it
// returns all of them where the host is none of these.
//
// It answers a fleet in which a replica gets a request now and then from each of very many hosts. None of them knows
// whether it is slow, each finds its connection closed since the last use, and opens one for each request, which costs
// more than most of the work. A host that keeps to few replicas knows them, and its connections stay open.
//
// Hosts choose without asking each other, and no replica is chosen by many more than another: hosts and replicas take
// each other in the order of one hash of both, until a host has enough or a replica has its part. A host or replica that
// comes or goes moves few of the others.
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

// without returns the hosts in whose zones there is no replica.
func without(hosts []member.Host, replicas []Replica) []member.Host {
	zones := map[string]bool{}
	for _, r := range replicas {
		zones[r.Zone] = true
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return zones[h.Zone] })
}

// pair is a host and a replica, which rank each other alike.
type pair struct {
	rank          uint64
	host, replica int
}

// match returns the replicas among some that a host is matched with, where each of the hosts gets a number of them.
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
	// Each replica may be chosen by its part of what all hosts choose, rounded up.
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
