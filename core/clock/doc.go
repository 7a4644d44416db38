// Package clock provides an interface to the current time and timers, so that code can be tested with virtual time.
package clock
