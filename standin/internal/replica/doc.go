// Package replica stands in for one upstream replica, with its limits and its faults.
package replica
