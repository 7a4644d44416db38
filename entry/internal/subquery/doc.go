// Package subquery runs parts of other hosts' queries on the replicas of this host's availability zone.
package subquery
