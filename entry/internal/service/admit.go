package service

import (
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/admission"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explain"
)

// Admission returns the admission gate of the service, for its metrics and for the load sent to other hosts.
func (s *Service) Admission() *admission.Gate { return s.gate }

// reportUpstreamLoad reports canceled and shed attempts to the gate, as signs of upstream load. Answered attempts are
// reported by shard instead, with the wait for a free replica included.
func (s *Service) reportUpstreamLoad(res upstream.Result) {
	switch res.Kind {
	case upstream.KindCanceled:
		s.gate.RecordReply(res.Took)
	case upstream.KindShed:
		s.gate.RecordShed()
	}
}

func (s *Service) refusalDecision(req QueryRequest, r *admission.Refusal) explain.Decision {
	return explain.Decision{AtMS: explain.Millis(s.opts.Clock.Now().Sub(req.Arrived)), What: "refuse", Shard: -1, Why: string(r.Reason)}
}

// waitDecision returns the decision that records how long a query waited for admission, or nil if it didn't wait.
func waitDecision(place admission.Permit) []explain.Decision {
	if place.Waited == 0 {
		return nil
	}
	return []explain.Decision{{AtMS: explain.Millis(place.Waited), What: "admit", Shard: -1, Why: "waited for a place"}}
}

// retryAfterMS returns d in milliseconds, rounded up, since 0 on the wire means that no time is given.
func retryAfterMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func (s *Service) onLimitChange(from, to int) {
	events.LimitMoved.Log(s.opts.Log, "service", s.name, "from", from, "to", to)
}
