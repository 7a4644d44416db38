package fairness

import "maps"

// Copy returns shares with the state of a pool alone, which record what they see without an effect on s. They call no
// function when the pool begins or ends to refuse requests. The copy of nil is nil.
func (s *Shares) Copy(pool string) *Shares {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Shares{pools: map[string]*pooled{}}
	if p := s.pools[pool]; p != nil {
		c.pools[pool] = p.copy()
	}
	return c
}

func (p *pooled) copy() *pooled {
	c := *p
	c.claims.list = maps.Clone(p.claims.list)
	for who, claimed := range c.claims.list {
		of := *claimed
		c.claims.list[who] = &of
	}
	return &c
}
