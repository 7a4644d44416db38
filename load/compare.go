package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/load/internal/compare"
	"guavaspring.org/load/internal/report"
)

func compareCommand(app *kingpin.Application) command {
	cmd := app.Command("compare", "Compare the samples of one run with those of earlier ones, and exit 1 where it is slower.")
	files := cmd.Arg("runs", "CSV files of samples: those of the earlier version first, that of the newer one last.").Required().Strings()
	allowed := cmd.Flag("violations", "Largest share of periods above the upper control limit that is still normal.").Default("0.25").Float64()
	warmup := cmd.Flag("warmup", "What was scheduled earlier is not compared.").Default("2s").Duration()
	return command{cmd.FullCommand(), func() error {
		if len(*files) < 2 {
			return usageError{errors.New("runs: want at least one of the earlier version and one of the newer")}
		}
		runs := make([][]compare.Point, len(*files))
		for i, file := range *files {
			var err error
			if runs[i], err = readPoints(file, *warmup); err != nil {
				return err
			}
		}
		return judge(runs[len(runs)-1], runs[:len(runs)-1], *allowed)
	}}
}

func judge(target []compare.Point, baseline [][]compare.Point, allowed float64) error {
	chart, ok := compare.New(compare.Default, baseline...)
	if !ok {
		return errors.New("the earlier runs are too short to compare with")
	}
	lower, upper := chart.Limits()
	outside, above := chart.Violations(target)
	fmt.Printf("control limits %.2f to %.2f ms; %.0f%% of the periods outside, %.0f%% above; ratio of medians %.3f, of p99 %.3f\n",
		lower, upper, outside*100, above*100, compare.RatioAt(0.5, target, baseline...), compare.RatioAt(0.99, target, baseline...))
	if above > allowed {
		return fmt.Errorf("slower: %.0f%% of the periods lie above the limit, and at most %.0f%% are normal", above*100, allowed*100)
	}
	fmt.Println("no regression found")
	return nil
}

func readPoints(file string, warmup time.Duration) ([]compare.Point, error) {
	samples, err := report.ReadSamples(file)
	if err != nil {
		return nil, err
	}
	var list []compare.Point
	for _, s := range samples {
		if s.At >= warmup {
			list = append(list, compare.Point{At: s.At - warmup, Took: s.Took})
		}
	}
	return list, nil
}

func detectorsCommand(app *kingpin.Application) command {
	cmd := app.Command("detectors", "Weigh ways of comparing runs by runs whose truth is known.")
	clean := cmd.Flag("clean", "CSV file of a run without a regression; to be repeated.").Required().Strings()
	planted := cmd.Flag("planted", "NAME=FILE of a run with a planted regression; to be repeated.").Required().StringMap()
	warmup := cmd.Flag("warmup", "What was scheduled earlier is not compared.").Default("2s").Duration()
	return command{cmd.FullCommand(), func() error {
		var runs [][]compare.Point
		for _, file := range *clean {
			run, err := readPoints(file, *warmup)
			if err != nil {
				return err
			}
			runs = append(runs, run)
		}
		bad := map[string][][]compare.Point{}
		for name, file := range *planted {
			run, err := readPoints(file, *warmup)
			if err != nil {
				return err
			}
			kind, _, _ := strings.Cut(name, "#")
			bad[kind] = append(bad[kind], run)
		}
		return printVerdicts(compare.Trial(runs, bad), bad)
	}}
}

func printVerdicts(verdicts []compare.Verdict, planted map[string][][]compare.Point) error {
	names := slices.Sorted(maps.Keys(planted))
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "detector\thighest without a regression\t%s\n", strings.Join(names, "\t"))
	for _, v := range verdicts {
		fmt.Fprintf(tw, "%s\t%.3f", v.Detector, v.Highest)
		for _, name := range names {
			fmt.Fprintf(tw, "\t%d of %d %.3f", v.Caught[name], len(planted[name]), v.Scores[name])
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}
