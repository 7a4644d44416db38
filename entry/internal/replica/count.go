package replica

// Count returns the number of replicas in the table and the number of those that are draining.
func (t *Table) Count() (known, draining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byAddr {
		if r.Draining() {
			draining++
		}
	}
	return len(t.byAddr), draining
}
