package queueing

// CopyTo copies the replies to another value, which is not in use yet.
func (d *Delay) CopyTo(to *Delay) {
	d.mu.Lock()
	defer d.mu.Unlock()
	to.waits, to.observedAt, to.next = d.waits, d.observedAt, d.next
}
