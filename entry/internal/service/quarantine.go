package service

import (
	"context"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/rumor"
)

const (
	reasonQuarantined = "the request is quarantined: connections to two replicas broke under it"
	// writeShard takes the place of the shard number in writes, which have no shard.
	writeShard = -1
)

func (s *Service) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Clock: s.opts.Clock, Service: s.name, Publish: s.opts.Publish, Judged: func(fp, why string) {
		events.Quarantined.Log(s.opts.Log, "service", s.name, "fingerprint", fp, "why", why)
	}})
}

// ApplyQuarantine applies another host's rumor that a request crashes upstreams.
func (s *Service) ApplyQuarantine(r rumor.Rumor) { s.quarantine.ApplyRumor(r) }

// fingerprint returns the quarantine fingerprint of a query, computed from the body that is sent to replicas.
func (s *Service) fingerprint(q caller.Query) string {
	body := upstream.Query{Query: q.Query, Limit: q.Limit}.Encode()
	return quarantine.Fingerprint(s.name, body)
}

// sendQuery sends one attempt of a query unless the query is quarantined for crashing replicas.
func (s *Service) sendQuery(ctx context.Context, r *replica.Replica, attempt upstream.QueryAttempt) upstream.Result {
	return s.sendUnlessQuarantined(ctx, r, attempt.Shard, attempt.Body, func() upstream.Result { return s.opts.Send(ctx, r, attempt) })
}

// sendUnlessQuarantined calls send unless the request is quarantined, and records how the attempt ended.
func (s *Service) sendUnlessQuarantined(ctx context.Context, r *replica.Replica, shard int, body []byte, send func() upstream.Result) upstream.Result {
	var res upstream.Result
	err := s.quarantine.Guard(ctx, quarantine.Fingerprint(s.name, body), shard, r.ID, func() quarantine.Outcome {
		res = send()
		return quarantineOutcome(res.Kind)
	})
	if err != nil {
		return upstream.Result{Kind: upstream.KindRefused, Detail: err.Error()}
	}
	return res
}

func quarantineOutcome(kind upstream.Kind) quarantine.Outcome {
	switch kind {
	case upstream.KindOK:
		return quarantine.Answered
	case upstream.KindBroken:
		return quarantine.Broke
	default:
		return quarantine.Inconclusive
	}
}
