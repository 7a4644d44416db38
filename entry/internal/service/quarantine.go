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
	quarantined = "the request is quarantined: connections to two replicas broke under it"
	// writeShard stands for the one place of a write among the shards.
	writeShard = -1
)

func (s *Service) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Clock: s.opts.Clock, Service: s.name, Publish: s.opts.Publish, Judged: func(fp, why string) {
		events.Quarantined.Log(s.opts.Log, "service", s.name, "fingerprint", fp, "why", why)
	}})
}

// HearQuarantine takes over from another host that a request crashes upstreams.
func (s *Service) HearQuarantine(r rumor.Rumor) { s.crashers.Heard(r) }

// fingerprint names a query by what its replicas get of it.
func (s *Service) fingerprint(q caller.Query) string {
	body := upstream.Query{Query: q.Query, Limit: q.Limit}.Encode()
	return quarantine.Fingerprint(s.name, body)
}

// guarded sends one try of a query unless the request is known to crash replicas.
func (s *Service) guarded(ctx context.Context, r *replica.Replica, try upstream.QueryTry) upstream.Result {
	return s.guard(ctx, r, try.Shard, try.Body, func() upstream.Result { return s.opts.Send(ctx, r, try) })
}

func (s *Service) guard(ctx context.Context, r *replica.Replica, shard int, body []byte, send func() upstream.Result) upstream.Result {
	var res upstream.Result
	err := s.crashers.Guard(ctx, quarantine.Fingerprint(s.name, body), shard, r.ID, func() quarantine.Outcome {
		res = send()
		return outcome(res.Kind)
	})
	if err != nil {
		return upstream.Result{Kind: upstream.KindRefused, Detail: err.Error()}
	}
	return res
}

func outcome(kind upstream.Kind) quarantine.Outcome {
	switch kind {
	case upstream.KindOK:
		return quarantine.Answered
	case upstream.KindBroken:
		return quarantine.Broke
	default:
		return quarantine.Left
	}
}
