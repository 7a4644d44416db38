// Package hosts acts as a caller towards the entry hosts: addresses, tickets, failover.
package hosts
