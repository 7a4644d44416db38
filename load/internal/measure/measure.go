package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"guavaspring.org/core/caller"
)

// Histograms hold 1 microsecond to 60 seconds with three digits.
const (
	lowest  = 1
	highest = 60_000_000
	digits  = 3
)

// Sample is one query as its caller saw it.
type Sample struct {
	// At is when the query was scheduled, since the start of the run.
	At time.Duration
	// Took counts from the scheduled time, so that a stall of the tool or of a connection is not hidden.
	Took time.Duration
	// Refusal is how long the first refusal took by its caller's clock, from sending.
	Refusal time.Duration
	// Hot is set on the queries of the caller that sends the most.
	Hot     bool
	Outcome caller.Outcome
	// Share is the coverage of an answer; Shards the size of its snapshot.
	Share  float64
	Shards int
	// Late is set where the answer came after the deadline.
	Late bool
}

// OutcomeError is the outcome of a query that no host answered.
const OutcomeError caller.Outcome = "error"

// Quantiles holds the latency at the usual quantiles, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
	N    int     `json:"n"`
}

// Summary holds the three measures of one run.
type Summary struct {
	Scene  string `json:"scene"`
	Policy string `json:"policy"`
	Round  int    `json:"round"`

	// Complete covers complete answers, All every answer that is not a refusal, Others those but the hot caller's,
	// Refusals the time to a refusal.
	Complete Quantiles `json:"complete"`
	All      Quantiles `json:"all"`
	Others   Quantiles `json:"others"`
	Refusals Quantiles `json:"refusals"`

	// CoverageMean, CoverageWorst and CompleteShare are over the answers that are not refusals; an error covers
	// nothing.
	CoverageMean  float64 `json:"coverage_mean"`
	CoverageWorst float64 `json:"coverage_worst"`
	CompleteShare float64 `json:"complete_share"`

	// Sent is what reached the upstreams, Needed what a run without any second try sends.
	Sent   int     `json:"sent"`
	Needed int     `json:"needed"`
	Extra  float64 `json:"extra_load"`

	Offered int `json:"offered"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Errors  int `json:"errors"`
	Late    int `json:"late"`
	// Goodput is complete answers in time, a second.
	Goodput float64 `json:"goodput"`
	// OthersCompleteShare is the share of the queries but the hot caller's that were answered whole and in time.
	OthersCompleteShare float64 `json:"others_complete_share"`
	// CPUPerQueryMS is processor time of the hosts for each query answered, zero where it was not measured.
	CPUPerQueryMS float64 `json:"cpu_per_query_ms"`

	// PeakConnections is the most that any one replica of a service has had since it started, by service.
	PeakConnections    map[string]int `json:"peak_connections"`
	RefusedConnections int            `json:"refused_connections"`
	// LostTruths counts replicas whose truth could not be read at the end; Sent leaves out their last second.
	LostTruths int `json:"lost_truths"`

	// Crashes counts the crashes of replicas that a request caused.
	Crashes int `json:"crashes"`
	// AfterDrainMS is how long after the start of its drain a replica still took work.
	AfterDrainMS int64 `json:"after_drain_ms"`

	// QueryReasons counts the queries that were refused or that no host answered, by outcome and reason.
	QueryReasons map[string]int `json:"query_reasons,omitempty"`
	// Writes counts the writes by their final outcome, WriteReasons those that are not done by outcome and reason.
	Writes       map[string]int `json:"writes,omitempty"`
	WriteReasons map[string]int `json:"write_reasons,omitempty"`
	Lies         []string       `json:"lies,omitempty"`
}

// Summarize computes what follows from the samples scheduled from warmup on, out of a run of the given length.
func Summarize(samples []Sample, warmup, length time.Duration) Summary {
	b := &builder{complete: histogram(), all: histogram(), others: histogram(), refusals: histogram()}
	b.sum.CoverageWorst = 1
	for _, s := range samples {
		if s.At >= warmup {
			b.add(s)
		}
	}
	return b.finish(length - warmup)
}

type builder struct {
	sum                             Summary
	complete, all, others, refusals *hdrhistogram.Histogram
	answers, wholes, inTime         int
	share                           float64
	otherOffered, otherInTime       int
}

func (b *builder) add(s Sample) {
	b.sum.Offered++
	whole := s.Outcome == caller.OutcomeComplete
	if !s.Hot {
		b.otherOffered++
	}
	if s.Late {
		b.sum.Late++
	}
	if whole && !s.Late {
		b.inTime++
		if !s.Hot {
			b.otherInTime++
		}
	}
	if s.Outcome == caller.OutcomeRefused {
		b.sum.Refused++
		record(b.refusals, s.Refusal)
		return
	}
	b.answers++
	b.share += s.Share
	b.sum.CoverageWorst = min(b.sum.CoverageWorst, s.Share)
	record(b.all, s.Took)
	if !s.Hot {
		record(b.others, s.Took)
	}
	switch s.Outcome {
	case caller.OutcomeComplete:
		b.wholes++
		record(b.complete, s.Took)
	case caller.OutcomeFailed:
		b.sum.Failed++
	case OutcomeError:
		b.sum.Errors++
	}
}

func (b *builder) finish(length time.Duration) Summary {
	b.sum.Complete, b.sum.All = quantiles(b.complete), quantiles(b.all)
	b.sum.Others, b.sum.Refusals = quantiles(b.others), quantiles(b.refusals)
	if b.answers > 0 {
		b.sum.CoverageMean = b.share / float64(b.answers)
		b.sum.CompleteShare = float64(b.wholes) / float64(b.answers)
	}
	if b.otherOffered > 0 {
		b.sum.OthersCompleteShare = float64(b.otherInTime) / float64(b.otherOffered)
	}
	b.sum.Goodput = float64(b.inTime) / length.Seconds()
	return b.sum
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value over the range is recorded as its end, never left out.
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000, N: int(h.TotalCount())}
}
