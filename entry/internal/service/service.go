package service

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/admission"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/fanout"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/rumor"
	"guavaspring.org/entry/internal/snapshot"
)

// Options configures a Service.
type Options struct {
	Clock   clock.Clock
	Log     logr.Logger
	Explain *explain.Store
	// NewID returns a new random identifier.
	NewID func() string
	// Send sends one attempt; nil means over HTTP.
	Send func(ctx context.Context, r *replica.Replica, attempt upstream.QueryAttempt) upstream.Result
	// Publish gossips a rumor to all hosts; it may be nil and must not block.
	Publish func(rumor.Rumor)
	// Health reads the health endpoint of a replica; nil means over HTTP.
	Health func(ctx context.Context, r *replica.Replica) (upstream.Health, upstream.Result)
	// Metrics receives the counters; nil means unregistered metrics.
	Metrics *Metrics
	// IntN draws random numbers and must be safe for concurrent use; nil means rand.IntN.
	IntN func(n int) int
	// Zone is this host's availability zone.
	Zone string
	// Draining is called once for each replica that this host itself finds draining, with the sign that showed it, so
	// that the caller can notify other hosts. It may be nil and must not call the service.
	Draining func(service string, r *replica.Replica, sign string)
}

// Service runs queries and writes of one service under the configuration generation in force.
type Service struct {
	opts   Options
	name   string
	gen    atomic.Pointer[accepted.Generation]
	table  *replica.Table
	gate   *admission.Gate
	client *upstream.Client
	// quarantine holds the requests that break the connections to the replicas running them.
	quarantine *quarantine.Quarantine
	runner     *fanout.Runner
	picker     *snapshot.Picker
	probes     sync.WaitGroup
}

// New returns the service described by gen, without any replicas.
func New(gen accepted.Generation, opts Options) (*Service, error) {
	client, err := upstream.New(upstream.Options{Clock: opts.Clock, MaxConns: connectionLimit(gen.Document)})
	if err != nil {
		return nil, err
	}
	if opts.Send == nil {
		opts.Send = func(ctx context.Context, r *replica.Replica, attempt upstream.QueryAttempt) upstream.Result {
			return client.Query(ctx, r.Addr, attempt)
		}
	}
	if opts.Health == nil {
		opts.Health = func(ctx context.Context, r *replica.Replica) (upstream.Health, upstream.Result) {
			return client.Health(ctx, r.Addr)
		}
	}
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	s := &Service{opts: opts, name: gen.Service, client: client}
	s.gate = admission.New(admission.Options{Clock: opts.Clock, Limits: admissionLimits(gen.Document), Moved: s.onLimitChange})
	s.quarantine = s.newQuarantine()
	s.gen.Store(&gen)
	s.table = replica.New(replica.Options{Clock: opts.Clock, Zone: opts.Zone, Draining: s.onDraining, Doubted: s.onImplausibleList})
	s.picker = snapshot.New(snapshot.Options{Moved: s.onSnapshotChange})
	s.runner = fanout.New(fanout.Options{Clock: opts.Clock, Send: s.sendQuery, Heard: s.onResult, Answered: s.gate.RecordReply, Judged: s.onEjectionChange, IntN: opts.IntN})
	return s, nil
}

// signOtherHost is the sign of a replica that another host reported as draining. Such reports are not sent on, since
// they would circulate between hosts forever.
const signOtherHost = "another host"

// MarkDraining applies another host's report that the replica with the id is draining. It reports whether this host
// knows the replica.
func (s *Service) MarkDraining(id string) bool { return s.table.MarkDraining(id, signOtherHost) }

// SetGeneration puts a newer generation in force for later requests.
func (s *Service) SetGeneration(gen accepted.Generation) {
	s.gen.Store(&gen)
	s.gate.SetLimits(admissionLimits(gen.Document))
	if err := s.client.SetMaxConns(connectionLimit(gen.Document)); err != nil {
		panic(fmt.Sprintf("service: can't set the upstream client's connection limit: %v", err))
	}
}

// Generation returns the generation in force.
func (s *Service) Generation() accepted.Generation { return *s.gen.Load() }

// Update applies the platform's list of the service's replicas and probes those without a recent reply for the shards
// that they hold.
func (s *Service) Update(ctx context.Context, list []platform.Replica) {
	added, removed := s.table.Update(list)
	for _, r := range removed {
		events.ReplicaGone.Log(s.opts.Log, "service", s.name, "replica", r.ID)
	}
	for _, r := range added {
		events.ReplicaSeen.Log(s.opts.Log, "service", s.name, "replica", r.ID, "addr", r.Addr.String())
	}
	s.probeAll(ctx)
}

const probeTimeout = time.Second

// probeAll reads the health endpoint of each replica without a recent reply, so that index versions are known before
// the first query and while no queries run.
func (s *Service) probeAll(ctx context.Context) {
	for _, r := range s.table.Unheard() {
		s.probes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			health, res := s.opts.Health(ctx, r)
			if res.Kind == upstream.KindOK {
				s.table.ApplyHealthCheck(r, upstream.FormatHoldings(health.Holdings), health.Draining)
			}
		})
	}
	s.probes.Wait()
}

// retryAfterNoVersion is the retry delay given to clients while the host knows no index version. The host reads the
// replica list and probes new replicas each second.
const retryAfterNoVersion = 500 * time.Millisecond

// QueryRequest is one query as received by the host.
type QueryRequest struct {
	ID       string
	Caller   string
	Arrived  time.Time
	Deadline time.Time
	Query    caller.Query
}

// Query admits and runs one query, and stores its explanation.
func (s *Service) Query(ctx context.Context, req QueryRequest) caller.Answer {
	gen := s.Generation()
	ans := caller.Answer{RequestID: req.ID, Service: s.name, Generation: gen.Number, ExplanationID: s.opts.NewID(), Hits: []caller.Hit{}}
	rec := &explain.Record{ID: ans.ExplanationID, RequestID: req.ID, Service: s.name, Caller: req.Caller, Arrived: req.Arrived}
	defer func() { s.finish(rec, ans) }()
	verdict := s.quarantine.Check(s.fingerprint(req.Query))
	if verdict.Refused {
		ans.Outcome, ans.Reason, ans.RetryAfterMS = caller.OutcomeRefused, reasonQuarantined, retryAfterMS(verdict.RetryAfter)
		return ans
	}
	place, refusal := s.gate.Acquire(ctx, admission.Request{Caller: req.Caller, Key: req.Query.Key, Deadline: req.Deadline})
	if refusal != nil {
		ans.Outcome, ans.Reason, ans.RetryAfterMS = caller.OutcomeRefused, string(refusal.Reason), retryAfterMS(refusal.RetryAfter)
		rec.Decisions = []explain.Decision{s.refusalDecision(req, refusal)}
		return ans
	}
	defer func() { place.Release(ans.Outcome == caller.OutcomeComplete) }()
	vm, ok := s.pickVersion()
	if !ok {
		ans.Outcome, ans.Reason, ans.RetryAfterMS = caller.OutcomeRefused, "no index version of the service is known yet", retryAfterMS(retryAfterNoVersion)
		return ans
	}
	// Attempts carry an id generated by this host: callers reuse their request ids, so that an upstream or the check of
	// a late reply could confuse two requests.
	report := s.runner.Run(ctx, fanout.Request{
		ID: ans.ExplanationID, Arrived: req.Arrived, Deadline: req.Deadline, Query: req.Query, Document: gen.Document, Map: vm, Replan: s.pickVersion,
		Suspect: verdict.Suspect,
	})
	rec.Decisions = append(waitDecision(place), report.Decisions...)
	s.logRoute(rec, report)
	s.opts.Metrics.observeRun(s.name, report)
	ans.Snapshot = report.Snapshot
	ans.Coverage, ans.Hits = report.Coverage, report.Hits
	ans.Outcome, ans.Reason = report.Coverage.Outcome(), report.Reason
	ans.RetryAfterMS = retryAfterMS(report.RetryAfter)
	return ans
}

func (s *Service) pickVersion() (replica.VersionMap, bool) { return s.picker.Pick(s.table.View()) }

func (s *Service) finish(rec *explain.Record, ans caller.Answer) {
	took := s.opts.Clock.Now().Sub(rec.Arrived)
	rec.Outcome, rec.Reason, rec.TookMS = string(ans.Outcome), ans.Reason, explain.Millis(took)
	s.opts.Explain.Add(rec)
	ev := events.Answered
	if ans.Outcome == caller.OutcomeRefused {
		ev = events.Refused
	}
	ev.Log(s.opts.Log, "service", s.name, "request", ans.RequestID, "outcome", ans.Outcome, "reason", ans.Reason,
		"answered", ans.Coverage.Answered, "shards", ans.Coverage.Shards, "took_ms", rec.TookMS, "explanation", ans.ExplanationID)
}

func admissionLimits(doc document.Document) admission.Limits {
	return admission.Limits{Running: doc.Admission.Concurrency, Waiting: doc.Admission.Queue, CallerShare: doc.Admission.CallerShare}
}

// connectionLimit returns this host's share of the connections to a replica. The share doesn't depend on the member
// list, so that the hosts together stay within the replica's limit even while they disagree on membership.
func connectionLimit(doc document.Document) int {
	return max(1, doc.Upstream.Connections/doc.Upstream.EntryHosts)
}
