package host

import (
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/ticket"
	"guavaspring.org/entry/internal/writes"
)

// newWriter returns the writer of this incarnation. Its ticket book starts empty, as each ticket is valid at one
// incarnation only.
func (h *Host) newWriter() *writes.Writer {
	return writes.New(writes.Options{
		Clock: h.opts.Clock, Log: h.opts.Log, Explain: h.explain, NewID: h.explanationID,
		Book: ticket.NewBook(h.Self().ID, ticket.DefaultMaxRecords),
		Upstream: func(name string) (writes.Upstream, bool) {
			s := h.service(name)
			if s == nil {
				return writes.Upstream{}, false
			}
			return s.Writes(), true
		},
		Where: h.callerAddr,
	})
}

// callerAddr returns the caller address of an incarnation that is not dead.
func (h *Host) callerAddr(incarnation string) (string, bool) {
	for _, m := range h.Hosts() {
		if m.ID == incarnation && m.State != member.StateDead {
			return m.Caller.String(), true
		}
	}
	return "", false
}
