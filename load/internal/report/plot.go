package report

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	plotPoints = 400
)

// Plot writes the latency of answers by quantile, one line for each policy, to DIR/SCENE/latency.png.
func (t *Table) Plot(dir, sceneName string) error {
	p := plot.New()
	p.Title.Text = sceneName + ": latency of answers, all rounds"
	p.X.Label.Text, p.Y.Label.Text = "quantile", "ms from the scheduled time"
	var lines []any
	for _, policy := range []string{PolicySystem, PolicyBaseline} {
		took, err := t.took(dir, sceneName, policy)
		if err != nil {
			return err
		}
		if len(took) > 0 {
			lines = append(lines, policy, curve(took))
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot of %s: %w", sceneName, err)
	}
	p.Legend.Top, p.Legend.Left = true, true
	if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, sceneName, "latency.png")); err != nil {
		return fmt.Errorf("plot of %s: %w", sceneName, err)
	}
	return nil
}

func curve(took []float64) plotter.XYs {
	slices.Sort(took)
	pts := make(plotter.XYs, plotPoints)
	for i := range pts {
		q := float64(i+1) / plotPoints
		pts[i] = plotter.XY{X: q, Y: took[min(len(took)-1, int(q*float64(len(took))))]}
	}
	return pts
}

func (t *Table) took(dir, sceneName, policy string) ([]float64, error) {
	var all []float64
	for _, run := range t.runsOf(sceneName, policy) {
		list, err := ReadSamples(runFile(dir, run, "csv"))
		if err != nil {
			return nil, err
		}
		for _, s := range list {
			all = append(all, s.Took.Seconds()*1000)
		}
	}
	return all, nil
}
