// Package fault defines the faults that can be injected into a simulated replica.
package fault
