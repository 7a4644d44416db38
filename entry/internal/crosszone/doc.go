// Package crosszone selects the shards of a query that are queried through a host in another availability zone.
package crosszone
