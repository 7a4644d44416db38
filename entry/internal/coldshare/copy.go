package coldshare

import (
	"maps"

	"guavaspring.org/entry/internal/member"
)

// Copy returns a copy that takes the hosts from another function. Of of the copy changes nothing in the original.
func (s *Shares) Copy(hosts func() (all, serving []member.Host)) *Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := s.opts
	opts.Hosts = hosts
	return &Shares{opts: opts, shares: maps.Clone(s.shares), listHead: s.listHead, peakHosts: s.peakHosts, peakAt: s.peakAt}
}
