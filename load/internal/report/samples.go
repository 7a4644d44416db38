package report

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/measure"
)

// ReadSamples returns the scheduled time, latency and outcome of every query in a CSV file of samples, without the
// refused ones.
func ReadSamples(file string) ([]measure.Sample, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("samples: %w", err)
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, fmt.Errorf("samples %s: no rows: %w", file, err)
	}
	at, took, outcome := slices.Index(rows[0], "at_ms"), slices.Index(rows[0], "took_ms"), slices.Index(rows[0], "outcome")
	if at < 0 || took < 0 || outcome < 0 {
		return nil, fmt.Errorf("samples %s: want columns at_ms, took_ms and outcome", file)
	}
	var list []measure.Sample
	for _, row := range rows[1:] {
		s := measure.Sample{Outcome: caller.Outcome(row[outcome])}
		if s.Outcome == caller.OutcomeRefused {
			continue
		}
		if s.At, err = duration(row[at]); err != nil {
			return nil, fmt.Errorf("samples %s: %w", file, err)
		}
		if s.Took, err = duration(row[took]); err != nil {
			return nil, fmt.Errorf("samples %s: %w", file, err)
		}
		list = append(list, s)
	}
	return list, nil
}

func duration(ms string) (time.Duration, error) {
	v, err := strconv.ParseFloat(ms, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number of milliseconds", ms)
	}
	return time.Duration(v * float64(time.Millisecond)), nil
}
