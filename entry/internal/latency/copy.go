package latency

import "slices"

// CopyTo copies the samples to another value, which is not in use yet.
func (r *Recent) CopyTo(to *Recent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	to.samples, to.n, to.next, to.unsorted, to.sorted = r.samples, r.n, r.next, r.unsorted, slices.Clone(r.sorted)
}
