package leastshare

// Copy returns a copy that takes the present share from another function. Get of the copy changes nothing in the original.
func (s *Share) Copy(now func() float64) *Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := s.opts
	opts.Now = now
	return &Share{opts: opts, epoch: s.epoch, current: s.current, least: s.least}
}
