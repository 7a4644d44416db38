package host

import "guavaspring.org/entry/internal/rumor"

// publishQuarantine sends the other hosts a request that crashes replicas, without waiting for the send.
func (h *Host) publishQuarantine(r rumor.Rumor) {
	// Publish fails only for rumors that are too large, and a fingerprint is small.
	go func() { _ = h.Publish(r) }()
}

// applyQuarantineRumor applies a quarantine rumor of another host.
func (h *Host) applyQuarantineRumor(r rumor.Rumor) {
	if s := h.service(r.Service); s != nil {
		s.ApplyQuarantine(r)
	}
}
