package host

import "guavaspring.org/entry/internal/rumor"

// tellQuarantine sends the other hosts a request that crashes replicas, without waiting for the send.
func (h *Host) tellQuarantine(r rumor.Rumor) {
	// Publish fails only for rumors that are too large, and a fingerprint is small.
	go func() { _ = h.Publish(r) }()
}

// hearQuarantine applies a quarantine rumor of another host.
func (h *Host) hearQuarantine(r rumor.Rumor) {
	if s := h.service(r.Service); s != nil {
		s.HearQuarantine(r)
	}
}
