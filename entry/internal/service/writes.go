package service

import (
	"context"
	"math/rand/v2"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/admission"
	"guavaspring.org/entry/internal/choice"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/ticket"
	"guavaspring.org/entry/internal/writes"
)

// Writes returns the functions by which the writer admits and sends writes of the service.
func (s *Service) Writes() writes.Upstream {
	return writes.Upstream{
		Enabled: s.Generation().Document.Writes.Enabled,
		Enter:   s.enterWrite,
		Pick: func(tried []*replica.Replica) *replica.Replica {
			// If every replica is at its limit, the write is reported as not run at once.
			r, _ := choice.Pick(rand.IntN, s.opts.Clock.Now(), s.table.View().Replicas, tried)
			return r
		},
		Send: func(ctx context.Context, r *replica.Replica, id string, body []byte) upstream.Result {
			res := s.sendUnlessQuarantined(ctx, r, writeShard, body, func() upstream.Result { return s.client.Write(ctx, r.Addr, id, body) })
			s.onResult(r, 0, res)
			return res
		},
	}
}

// enterWrite admits a write through the same gate as queries, since both use the same upstream slots.
func (s *Service) enterWrite(ctx context.Context, req writes.Request) (func(done bool), ticket.Outcome) {
	place, refusal := s.gate.Acquire(ctx, admission.Request{Caller: req.Caller, Deadline: req.Deadline})
	if refusal != nil {
		return nil, ticket.Outcome{Outcome: caller.WriteNotRun, Reason: string(refusal.Reason), RetryAfter: refusal.RetryAfter}
	}
	return place.Release, ticket.Outcome{}
}
