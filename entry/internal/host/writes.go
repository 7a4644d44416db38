package host

import (
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/ticket"
	"guavaspring.org/entry/internal/writes"
)

// newWriter opens the record of writes of this incarnation; it is empty, as every ticket names the incarnation it is
// for.
func (h *Host) newWriter() *writes.Writer {
	return writes.New(writes.Options{
		Clock: h.opts.Clock, Log: h.opts.Log, Explain: h.explain, NewID: h.explanationID,
		Book: ticket.NewBook(h.Self().ID, ticket.DefaultRecords),
		Upstream: func(name string) (writes.Upstream, bool) {
			s := h.service(name)
			if s == nil {
				return writes.Upstream{}, false
			}
			return s.Writes(), true
		},
		Where: h.whereIs,
	})
}

func (h *Host) whereIs(incarnation string) (string, bool) {
	for _, m := range h.Hosts() {
		if m.ID == incarnation && m.State != member.StateDead {
			return m.Caller.String(), true
		}
	}
	return "", false
}
