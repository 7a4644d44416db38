// Package crossing decides which shards of a query are asked through a host in another availability zone.
package crossing
