package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/load/internal/compare"
	"guavaspring.org/load/internal/report"
)

func compareCommand(app *kingpin.Application) command {
	cmd := app.Command("compare", "Compare the samples of one run with those of at least three earlier ones, and exit 1 where it is slower.")
	files := cmd.Arg("runs", "CSV files of samples: those of the earlier version first, that of the newer one last.").Required().Strings()
	warmup := cmd.Flag("warmup", "What was scheduled earlier is not compared.").Default("2s").Duration()
	return command{cmd.FullCommand(), func() error {
		runs := make([]compare.Run, len(*files))
		for i, file := range *files {
			var err error
			if runs[i], err = readRun(file, *warmup); err != nil {
				return err
			}
		}
		last := len(runs) - 1
		findings, err := compare.Compare(runs[last], runs[:last])
		if errors.Is(err, compare.ErrTooFew) {
			return usageError{fmt.Errorf("runs: %w", err)}
		}
		if err != nil {
			return err
		}
		return printFindings(findings)
	}}
}

func printFindings(findings []compare.Finding) error {
	var err error
	for _, f := range findings {
		fmt.Printf("p%g: %.3f of the median earlier run, normal up to %.3f\n", f.Quantile*100, f.Ratio, f.Bound)
		if f.Slower() {
			err = errors.Join(err, fmt.Errorf("slower at p%g", f.Quantile*100))
		}
	}
	if err == nil {
		fmt.Println("no regression found")
	}
	return err
}

func readRun(file string, warmup time.Duration) (compare.Run, error) {
	samples, err := report.ReadSamples(file)
	if err != nil {
		return nil, err
	}
	var run compare.Run
	for _, s := range samples {
		if s.At >= warmup {
			run = append(run, s.Took)
		}
	}
	return run, nil
}
