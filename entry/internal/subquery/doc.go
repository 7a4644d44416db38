// Package subquery answers parts of other hosts' queries from the replicas of this host's availability zone.
package subquery
