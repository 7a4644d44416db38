package service

import "guavaspring.org/core/platform"

// Status returns the numbers of known and draining replicas, and the index versions with their coverage, as this host
// sees them.
func (s *Service) Status() (platform.StatusReplicas, []platform.StatusVersion) {
	known, draining := s.table.Count()
	versions := []platform.StatusVersion{}
	for _, vm := range s.table.View().Versions {
		versions = append(versions, platform.StatusVersion{Version: vm.Version, Shards: len(vm.Holders), Held: vm.Held, Least: vm.Least})
	}
	return platform.StatusReplicas{Known: known, Draining: draining}, versions
}
