package replica

// Count returns how many replicas are known, and how many of them are leaving.
func (t *Table) Count() (known, draining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.all {
		if r.Draining() {
			draining++
		}
	}
	return len(t.all), draining
}
