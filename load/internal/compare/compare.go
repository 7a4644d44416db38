package compare

import (
	"errors"
	"math"
	"slices"
	"time"
)

// leastRuns is how many earlier runs it takes to know how much runs of one version differ.
const leastRuns = 3

// margin is how far over the earlier runs' own spread a ratio has to lie; the spread of few runs understates the true
// one.
const margin = 1.01

// Quantiles are those that Judge compares: the median shows a change of every request, the 99th percentile one of the
// tail. docs/design/compare.md has the trial.
var Quantiles = []float64{0.5, 0.99}

// ErrTooFew means that there are not enough earlier runs to compare with.
var ErrTooFew = errors.New("want at least 3 earlier runs with samples")

// Run holds the latencies of one run.
type Run []time.Duration

// Finding is what one quantile says of a run.
type Finding struct {
	Quantile float64
	// Ratio is the newer run's latency over the median earlier run's; Bound is the highest that is still normal.
	Ratio, Bound float64
}

// Slower reports whether the newer run is slower than earlier ones differ among themselves.
func (f Finding) Slower() bool { return f.Ratio > f.Bound }

// Judge compares a run with the earlier ones, quantile by quantile; ErrTooFew where there are fewer than three of
// these.
func Judge(newer Run, earlier []Run) ([]Finding, error) {
	if len(earlier) < leastRuns || len(newer) == 0 || slices.ContainsFunc(earlier, func(r Run) bool { return len(r) == 0 }) {
		return nil, ErrTooFew
	}
	var findings []Finding
	for _, q := range Quantiles {
		f := Finding{Quantile: q, Ratio: RatioToMedianRun(q, newer, earlier)}
		for i, run := range earlier {
			others := slices.Concat(earlier[:i], earlier[i+1:])
			f.Bound = max(f.Bound, margin*RatioToMedianRun(q, run, others))
		}
		findings = append(findings, f)
	}
	return findings, nil
}

// RatioToMedianRun returns the latency of the run at a quantile over that of the median one among the others, so that
// one disturbed run among them does not count.
func RatioToMedianRun(quantile float64, run Run, others []Run) float64 {
	each := make([]float64, len(others))
	for i, other := range others {
		each[i] = at(quantile, run) / at(quantile, other)
	}
	slices.Sort(each)
	return each[(len(each)-1)/2]
}

// at returns the latency at a quantile by the nearest rank.
func at(quantile float64, run Run) float64 {
	sorted := slices.Sorted(slices.Values(run))
	i := int(math.Ceil(quantile*float64(len(sorted)))) - 1
	return float64(sorted[min(max(i, 0), len(sorted)-1)])
}
