// Package balance spreads requests over replicas by their capacity, from measurements that may be old.
package balance
