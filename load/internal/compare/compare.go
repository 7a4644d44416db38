package compare

import (
	"errors"
	"math"
	"slices"
	"time"
)

// minEarlierRuns is the minimum number of earlier runs, needed to estimate how much runs of one version differ.
const minEarlierRuns = 3

// margin is the factor by which a ratio must exceed the spread of the earlier runs; a few runs understate the true
// spread.
const margin = 1.01

// Quantiles are the compared quantiles: the median shows a change of all requests, the 99th percentile a change of the
// tail. docs/design/compare.md describes the measurements behind this choice.
var Quantiles = []float64{0.5, 0.99}

// ErrTooFew means that there are too few earlier runs, or runs without samples.
var ErrTooFew = errors.New("want at least 3 earlier runs with samples")

// Run holds the latencies of one run.
type Run []time.Duration

// Finding is the result of the comparison at one quantile.
type Finding struct {
	Quantile float64
	// Ratio is the latency of the newer run divided by that of the median earlier run; Bound is its highest normal value.
	Ratio, Bound float64
}

// Slower reports whether Ratio exceeds the normal variation between the earlier runs.
func (f Finding) Slower() bool { return f.Ratio > f.Bound }

// Compare compares a run with earlier ones at each quantile. It returns ErrTooFew for fewer than three earlier runs or a
// run without samples.
func Compare(newer Run, earlier []Run) ([]Finding, error) {
	if len(earlier) < minEarlierRuns || len(newer) == 0 || slices.ContainsFunc(earlier, func(r Run) bool { return len(r) == 0 }) {
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

// RatioToMedianRun returns the latency of the run at a quantile divided by that of the median run among the others. The
// median makes it robust to one disturbed run.
func RatioToMedianRun(quantile float64, run Run, others []Run) float64 {
	each := make([]float64, len(others))
	for i, other := range others {
		each[i] = latencyAt(quantile, run) / latencyAt(quantile, other)
	}
	slices.Sort(each)
	return each[(len(each)-1)/2]
}

// latencyAt returns the latency at a quantile by the nearest-rank method.
func latencyAt(quantile float64, run Run) float64 {
	sorted := slices.Sorted(slices.Values(run))
	i := int(math.Ceil(quantile*float64(len(sorted)))) - 1
	return float64(sorted[min(max(i, 0), len(sorted)-1)])
}
