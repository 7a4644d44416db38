// Package hosts implements a caller of the entry hosts with address caching, write tickets and failover.
package hosts
