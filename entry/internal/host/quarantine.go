package host

import "guavaspring.org/entry/internal/rumor"

// tellQuarantine tells the other hosts of a request that crashes upstreams; the send isn't waited for.
func (h *Host) tellQuarantine(r rumor.Rumor) {
	// Publish fails only for a rumor that is too large; a fingerprint isn't.
	go func() { _ = h.Publish(r) }()
}

// hearQuarantine takes over what another host found.
func (h *Host) hearQuarantine(r rumor.Rumor) {
	if s := h.service(r.Service); s != nil {
		s.HearQuarantine(r)
	}
}
