package retrybudget

// Copy returns a copy of the budget, from which attempts may be taken without an effect on the original.
func (b *Budget) Copy() *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Budget{opts: b.opts, epoch: b.epoch, current: b.current, requests: b.requests, extraAttempts: b.extraAttempts}
}
