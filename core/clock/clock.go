package clock

import "time"

// Clock provides the current time and timers; System is the only implementation outside tests.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc runs f in its own goroutine once d has passed, unless the returned stop function is called before that.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// System is the system clock; inside a testing/synctest bubble its time is virtual.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc returns the Stop method of time.AfterFunc(d, f).
func (System) AfterFunc(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
