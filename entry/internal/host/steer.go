package host

import (
	"fmt"

	"guavaspring.org/core/caller"
	"guavaspring.org/entry/internal/callers"
)

func (h *Host) addresses(req callers.AddressRequest) (caller.Addresses, error) {
	s := h.service(req.Service)
	if s == nil {
		return caller.Addresses{}, fmt.Errorf("no service %q is configured here", req.Service)
	}
	gen := s.Generation()
	return caller.Addresses{
		Service: req.Service, Generation: gen.Number, KeepMS: gen.Document.Addresses.Keep.Std().Milliseconds(),
		Addresses: []caller.Address{{Address: h.opts.Listen, Zone: h.opts.Zone, Weight: 1}},
	}, nil
}
