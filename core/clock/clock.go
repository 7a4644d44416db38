package clock

import "time"

// Clock tells the time and wakes its caller later; System is the only production implementation.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc runs f on its own goroutine once d has passed, unless the returned stop function ran first.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// System is the Clock of the operating system; inside a testing/synctest bubble it is virtual.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc returns the Stop method of time.AfterFunc(d, f).
func (System) AfterFunc(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
