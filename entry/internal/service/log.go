package service

import (
	"strings"

	"guavaspring.org/core/event"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/fanout"
	"guavaspring.org/entry/internal/replica"
)

// decisionEvents maps the kind of a decision to its log event; the first attempts of all shards share one log line
// instead.
var decisionEvents = map[string]event.Event{
	fanout.WhatRetry:  events.Retried,
	fanout.WhatHedge:  events.Hedged,
	fanout.WhatMiss:   events.Missed,
	fanout.WhatReplan: events.Replanned,
	fanout.WhatTrial:  events.ReplicaProbed,
	fanout.WhatWait:   events.ShardWaited,
}

// logRoute logs one line with the first replica of each shard, in the order of shards, and one line for each further
// decision. It runs after the query has ended, so that no attempt waits for the log; at_ms is the time of the decision.
func (s *Service) logRoute(rec *explain.Record, report fanout.Report) {
	log := s.opts.Log
	if !log.Enabled() {
		return
	}
	events.Routed.Log(log, "service", s.name, "request", rec.RequestID, "explanation", rec.ID, "version", report.Snapshot.Version,
		"shards", report.Snapshot.Shards, "replicas", firstReplicas(rec.Decisions), "sent", report.Sent)
	for _, d := range rec.Decisions {
		if ev, ok := decisionEvents[d.What]; ok {
			ev.Log(log, "service", s.name, "explanation", rec.ID, "at_ms", d.AtMS, "shard", d.Shard, "replica", d.Replica, "why", d.Why)
		}
	}
}

// firstReplicas returns the ids of the replicas that got the first attempts, separated by commas.
func firstReplicas(list []explain.Decision) string {
	var b strings.Builder
	for _, d := range list {
		if d.What != fanout.WhatRoute {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(d.Replica)
	}
	return b.String()
}

func (s *Service) onResult(r *replica.Replica, version int64, res upstream.Result) {
	s.opts.Metrics.countAttempt(s.name, res.Kind)
	if res.Kind == upstream.KindVersionGone {
		s.table.Gone(r, version)
	}
	s.table.ApplyReply(r, res.Holdings, res.Draining || res.Kind == upstream.KindDraining)
	s.reportUpstreamLoad(res)
}

func (s *Service) onEjectionChange(r *replica.Replica, ejected bool, why string) {
	ev := events.ReplicaRestored
	if ejected {
		ev = events.ReplicaEjected
	}
	s.opts.Metrics.countEjectionChange(s.name, ejected)
	ev.Log(s.opts.Log, "service", s.name, "replica", r.ID, "why", why)
}

func (s *Service) onSnapshotChange(from, to replica.VersionMap) {
	events.SnapshotMoved.Log(s.opts.Log, "service", s.name, "from", from.Version, "from_shards", len(from.Holders),
		"to", to.Version, "to_shards", len(to.Holders), "least_holders", to.Least)
}

func (s *Service) onDraining(r *replica.Replica, sign string) {
	events.ReplicaDraining.Log(s.opts.Log, "service", s.name, "replica", r.ID, "sign", sign)
	if s.opts.Draining != nil && sign != signOtherHost {
		s.opts.Draining(s.name, r, sign)
	}
}

func (s *Service) onImplausibleList(omitted, live int) {
	events.PartialListIgnored.Log(s.opts.Log, "service", s.name, "omitted", omitted, "live", live)
}
