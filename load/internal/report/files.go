package report

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"guavaspring.org/load/internal/measure"
)

// runFile returns the path DIR/SCENE/POLICY-ROUND.EXT of a file of one run.
func runFile(dir string, sum measure.Summary, ext string) string {
	return filepath.Join(dir, sum.Scene, fmt.Sprintf("%s-%d.%s", sum.Policy, sum.Round, ext))
}

// Write stores one run: its summary as JSON and its samples as CSV.
func Write(dir string, sum measure.Summary, samples []measure.Sample) error {
	if err := os.MkdirAll(filepath.Join(dir, sum.Scene), 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	b, err := json.MarshalIndent(sum, "", "  ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(runFile(dir, sum, "json"), b, 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	rows := [][]string{{"at_ms", "took_ms", "refusal_ms", "hot", "outcome", "share", "late"}}
	for _, s := range samples {
		rows = append(rows, []string{
			formatMillis(s.At.Seconds()), formatMillis(s.Took.Seconds()), formatMillis(s.Refusal.Seconds()), strconv.FormatBool(s.Hot),
			string(s.Outcome), strconv.FormatFloat(s.Share, 'f', 4, 64), strconv.FormatBool(s.Late),
		})
	}
	return writeCSV(runFile(dir, sum, "csv"), rows)
}

// Read returns the summary of every run stored in dir.
func Read(dir string) ([]measure.Summary, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*", "*.json"))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var list []measure.Summary
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		var sum measure.Summary
		if err := json.Unmarshal(b, &sum); err != nil {
			return nil, fmt.Errorf("report %s: %w", file, err)
		}
		list = append(list, sum)
	}
	return list, nil
}

// WriteAll stores every run as one CSV file with a row for each.
func WriteAll(file string, list []measure.Summary) error {
	rows := [][]string{{
		"scene", "policy", "round", "offered", "goodput", "complete_p50_ms", "complete_p99_ms", "complete_p999_ms",
		"all_p50_ms", "all_p99_ms", "all_p999_ms", "others_p99_ms", "coverage_mean", "coverage_worst", "complete_share",
		"sent", "needed", "extra_load", "refused", "refusals_p99_ms", "failed", "errors", "late", "cpu_per_query_ms",
		"peak_connections", "refused_connections", "lies",
	}}
	for _, s := range list {
		rows = append(rows, []string{
			s.Scene, s.Policy, strconv.Itoa(s.Round), strconv.Itoa(s.Offered), formatFloat(s.Goodput), formatFloat(s.Complete.P50), formatFloat(s.Complete.P99), formatFloat(s.Complete.P999),
			formatFloat(s.All.P50), formatFloat(s.All.P99), formatFloat(s.All.P999), formatFloat(s.Others.P99), formatFloat(s.CoverageMean), formatFloat(s.CoverageWorst), formatFloat(s.CompleteShare),
			strconv.Itoa(s.Sent), strconv.Itoa(s.Needed), formatFloat(s.Extra), strconv.Itoa(s.Refused), formatFloat(s.Refusals.P99), strconv.Itoa(s.Failed),
			strconv.Itoa(s.Errors), strconv.Itoa(s.Late), formatFloat(s.CPUPerQueryMS),
			strconv.Itoa(peak(s)), strconv.Itoa(s.RefusedConnections), strconv.Itoa(len(s.Violations)),
		})
	}
	return writeCSV(file, rows)
}

func writeCSV(file string, rows [][]string) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	w := csv.NewWriter(f)
	if err := w.WriteAll(rows); err != nil {
		_ = f.Close()
		return fmt.Errorf("report %s: %w", file, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }

func formatMillis(seconds float64) string { return strconv.FormatFloat(seconds*1000, 'f', 3, 64) }

func peak(s measure.Summary) int {
	most := 0
	for _, n := range s.PeakConnections {
		most = max(most, n)
	}
	return most
}
