package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"guavaspring.org/core/caller"
)

// The histograms cover 1 microsecond to 60 seconds, in microseconds, with three significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Sample is the outcome of one query at its caller.
type Sample struct {
	// At is the scheduled time of the query since the start of the run.
	At time.Duration
	// Took is the latency from the scheduled time, so that it includes stalls of the load generator and connections.
	Took time.Duration
	// Refusal is the time from sending to the first refusal, by the clock of the caller.
	Refusal time.Duration
	// Hot marks the queries of the hot caller, which sends the most.
	Hot     bool
	Outcome caller.Outcome
	// Share is the coverage of the answer from 0 to 1; Shards is the number of shards of its snapshot.
	Share  float64
	Shards int
	// Late is set if the answer arrived after the deadline.
	Late bool
}

// OutcomeError marks a query that no host answered.
const OutcomeError caller.Outcome = "error"

// Quantiles holds latencies in milliseconds over N samples.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
	N    int     `json:"n"`
}

// Summary holds the measures of one run.
type Summary struct {
	Scene  string `json:"scene"`
	Policy string `json:"policy"`
	Round  int    `json:"round"`

	// Complete is the latency of complete answers, All that of every query that was not refused, Others the same
	// without the hot caller, Refusals the time to a refusal.
	Complete Quantiles `json:"complete"`
	All      Quantiles `json:"all"`
	Others   Quantiles `json:"others"`
	Refusals Quantiles `json:"refusals"`

	// CoverageMean, CoverageWorst and CompleteShare are taken over the queries that were not refused; an error counts
	// as coverage 0.
	CoverageMean  float64 `json:"coverage_mean"`
	CoverageWorst float64 `json:"coverage_worst"`
	CompleteShare float64 `json:"complete_share"`

	// Sent is the number of attempts that reached the replicas, Needed that of a run without retries and hedges. Extra
	// is Sent/Needed - 1.
	Sent   int     `json:"sent"`
	Needed int     `json:"needed"`
	Extra  float64 `json:"extra_load"`

	Offered int `json:"offered"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Errors  int `json:"errors"`
	Late    int `json:"late"`
	// Goodput is the number of complete answers in time per second.
	Goodput float64 `json:"goodput"`
	// OthersCompleteShare is the share of complete answers in time among the queries of all but the hot caller.
	OthersCompleteShare float64 `json:"others_complete_share"`
	// CPUPerQueryMS is the CPU time of the hosts per query in milliseconds, zero if it was not measured.
	CPUPerQueryMS float64 `json:"cpu_per_query_ms"`

	// PeakConnections is the highest number of connections at any replica since its start, by service.
	PeakConnections    map[string]int `json:"peak_connections"`
	RefusedConnections int            `json:"refused_connections"`
	// UnreadReplicas is the number of replicas whose record could not be read at the end; Sent lacks their last second.
	UnreadReplicas int `json:"lost_truths"`

	// Crashes is the number of crashes of replicas caused by a request.
	Crashes int `json:"crashes"`
	// AfterDrainMS is the longest time after the start of its drain at which a replica accepted work, in milliseconds.
	AfterDrainMS int64 `json:"after_drain_ms"`

	// QueryReasons counts the refused and unanswered queries by outcome and reason.
	QueryReasons map[string]int `json:"query_reasons,omitempty"`
	// Writes counts the writes by final outcome, WriteReasons those that are not done by outcome and reason.
	Writes       map[string]int `json:"writes,omitempty"`
	WriteReasons map[string]int `json:"write_reasons,omitempty"`
	// Violations lists the false claims of answers and writes, and faults that could not be set.
	Violations []string `json:"lies,omitempty"`
}

// Summarize returns the measures that follow from the samples; those scheduled before warmup are left out. The length
// is that of the whole run.
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

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range are clamped, so that none is dropped.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000, N: int(h.TotalCount())}
}
