package baselatency

// CopyTo copies the estimate to another value, which is not in use yet.
func (e *Estimator) CopyTo(to *Estimator) {
	e.mu.Lock()
	defer e.mu.Unlock()
	to.estimate, to.observedAt, to.refusedAt = e.estimate, e.observedAt, e.refusedAt
}
