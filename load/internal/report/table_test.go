package report_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/load/internal/measure"
	"guavaspring.org/load/internal/report"
	"guavaspring.org/load/internal/scene"
)

func run(policy string, round int, p99 float64) measure.Summary {
	return measure.Summary{Scene: "s", Policy: policy, Round: round, All: measure.Quantiles{P99: p99}}
}

func TestAimsAreJudgedByTheirSpread(t *testing.T) {
	// Guards against noise reported as a difference between policies, and against an aim reported as met where only
	// some rounds meet it.
	atMost := 100.0
	sc := scene.Scene{Name: "s", Aims: []scene.Aim{{Measure: "p99_ms", AtMost: &atMost}}}
	for _, test := range []struct {
		name        string
		ours, plain []float64
		want        []string
	}{
		{"apart and met", []float64{50, 60}, []float64{120, 150}, []string{"met", "0.41x"}},
		{"apart and missed", []float64{150, 160}, []float64{110, 120}, []string{"missed", "1.35x"}},
		{"overlap", []float64{50, 90}, []float64{80, 95}, []string{"met", "no difference outside the spread"}},
		{"rounds disagree", []float64{90, 110}, []float64{200, 210}, []string{"not settled: the rounds disagree"}},
		{"one round", []float64{50}, []float64{200}, []string{"met", "one round only"}},
		{"not run", nil, []float64{200, 201}, []string{"not run"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var runs []measure.Summary
			for i, v := range test.ours {
				runs = append(runs, run(report.PolicySystem, i+1, v))
			}
			for i, v := range test.plain {
				runs = append(runs, run(report.PolicyBaseline, i+1, v))
			}
			var b bytes.Buffer
			c.Assert(report.New(runs).WriteAims(&b, []scene.Scene{sc}), qt.IsNil)
			row := strings.Split(b.String(), "\n")[1]
			for _, want := range test.want {
				c.Assert(row, qt.Contains, want)
			}
		})
	}
}

func TestRunsAreReadAsTheyWereWritten(t *testing.T) {
	// Guards against fields lost between Write and Read, and against refused queries among the latencies.
	c := qt.New(t)
	dir := c.TempDir()
	sum := run(report.PolicySystem, 1, 12.5)
	sum.Violations = []string{"x"}
	c.Assert(report.Write(dir, sum, []measure.Sample{{Outcome: "complete", Took: 5_000_000}, {Outcome: "refused"}}), qt.IsNil)
	runs, err := report.Read(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(runs, qt.DeepEquals, []measure.Summary{sum})
	samples, err := report.ReadSamples(dir + "/s/guavaspring-1.csv")
	c.Assert(err, qt.IsNil)
	c.Assert(samples, qt.DeepEquals, []measure.Sample{{Outcome: "complete", Took: 5_000_000}})
}
