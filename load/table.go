package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/load/internal/report"
	"guavaspring.org/load/internal/scene"
)

func tableCommand(app *kingpin.Application) command {
	cmd := app.Command("table", "Print the runs stored in a directory as one table, and write bench.csv and a plot for each scene.")
	out := cmd.Flag("out", "Directory of the figures.").Default(".out/bench").String()
	files := cmd.Arg("scenes", "Files of the scenes.").Required().Strings()
	return command{cmd.FullCommand(), func() error {
		runs, err := report.Read(*out)
		if err != nil {
			return err
		}
		var scenes []scene.Scene
		for _, file := range *files {
			sc, err := scene.Read(file)
			if err != nil {
				return usageError{err}
			}
			scenes = append(scenes, sc)
		}
		return printTable(report.New(runs), scenes, *out, func() error {
			return report.WriteAll(filepath.Join(*out, "bench.csv"), runs)
		})
	}}
}

func printTable(t *report.Table, scenes []scene.Scene, out string, writeAll func() error) error {
	if err := writeAll(); err != nil {
		return err
	}
	for _, sc := range scenes {
		if err := t.Plot(out, sc.Name); err != nil {
			return err
		}
	}
	if err := t.WriteMeasures(os.Stdout); err != nil {
		return err
	}
	fmt.Println()
	if err := t.WriteAims(os.Stdout, scenes); err != nil {
		return err
	}
	if n := t.Violations(report.PolicySystem); n > 0 {
		return violationsError{n}
	}
	return nil
}
