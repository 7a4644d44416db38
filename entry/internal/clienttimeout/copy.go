package clienttimeout

// CopyTo copies the recorded times to another value, which is not in use yet.
func (t *Tracker) CopyTo(to *Tracker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to.times, to.n, to.median = t.times, t.n, t.median
}
