// Package replica simulates an upstream replica with limits and injected faults.
package replica
