package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"guavaspring.org/load/internal/measure"
	"guavaspring.org/load/internal/scene"
)

// The policies that the table compares.
const (
	PolicySystem   = "guavaspring"
	PolicyBaseline = "baseline"
)

// ReferenceSuffix is appended to a scene's name for the runs that its ratios are computed against.
const ReferenceSuffix = ".reference"

// Spread summarizes a measure over N rounds.
type Spread struct {
	Median, Min, Max float64
	N                int
}

// SpreadOf returns the spread of the values, or the zero Spread where there are none.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	s := slices.Sorted(slices.Values(values))
	mid := (s[(len(s)-1)/2] + s[len(s)/2]) / 2
	return Spread{Median: mid, Min: s[0], Max: s[len(s)-1], N: len(s)}
}

// String returns the median with the minimum and maximum.
func (s Spread) String() string {
	if s.N == 0 {
		return "not run"
	}
	return fmt.Sprintf("%.4g [%.4g..%.4g]", s.Median, s.Min, s.Max)
}

// Disjoint reports whether the ranges of two spreads are disjoint; a difference between overlapping spreads is noise.
func (s Spread) Disjoint(other Spread) bool {
	return s.N > 0 && other.N > 0 && (s.Max < other.Min || other.Max < s.Min)
}

// Table holds the summaries of all stored runs.
type Table struct{ runs []measure.Summary }

// New returns a table of the runs.
func New(runs []measure.Summary) *Table { return &Table{runs: runs} }

// overRounds returns the spread of f over the rounds of one scene and policy.
func (t *Table) overRounds(sceneName, policy string, f func(measure.Summary) float64) Spread {
	var values []float64
	for _, r := range t.runsOf(sceneName, policy) {
		values = append(values, f(r))
	}
	return SpreadOf(values)
}

func (t *Table) runsOf(sceneName, policy string) []measure.Summary {
	var list []measure.Summary
	for _, r := range t.runs {
		if r.Scene == sceneName && r.Policy == policy {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b measure.Summary) int { return cmp.Compare(a.Round, b.Round) })
	return list
}

// WriteMeasures writes the measures of every scene and policy over its rounds: the median of each, but the minimum of
// the worst coverage and the maximum number of false claims.
func (t *Table) WriteMeasures(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "scene\tpolicy\tcomplete p50/p99/p99.9 ms\tall p50/p99/p99.9 ms\tp99 of all, spread\tcoverage mean/complete/worst\textra load\tgoodput/s\trefused\tfailed+errors\tlies")
	for _, key := range t.keys() {
		f := func(get func(measure.Summary) float64) Spread { return t.overRounds(key[0], key[1], get) }
		fmt.Fprintf(tw, "%s\t%s\t%.1f/%.1f/%.1f\t%.1f/%.1f/%.1f\t%s\t%.3f/%.3f/%.2f\t%.1f%%\t%.0f\t%.0f\t%.0f\t%.0f\n", key[0], key[1],
			f(func(s measure.Summary) float64 { return s.Complete.P50 }).Median, f(func(s measure.Summary) float64 { return s.Complete.P99 }).Median, f(func(s measure.Summary) float64 { return s.Complete.P999 }).Median,
			f(func(s measure.Summary) float64 { return s.All.P50 }).Median, f(allP99).Median, f(func(s measure.Summary) float64 { return s.All.P999 }).Median, f(allP99),
			f(func(s measure.Summary) float64 { return s.CoverageMean }).Median, f(func(s measure.Summary) float64 { return s.CompleteShare }).Median, f(func(s measure.Summary) float64 { return s.CoverageWorst }).Min,
			f(func(s measure.Summary) float64 { return s.Extra }).Median*100,
			f(func(s measure.Summary) float64 { return s.Goodput }).Median, f(func(s measure.Summary) float64 { return float64(s.Refused) }).Median,
			f(func(s measure.Summary) float64 { return float64(s.Failed + s.Errors) }).Median, f(func(s measure.Summary) float64 { return float64(len(s.Violations)) }).Max)
	}
	return tw.Flush()
}

func allP99(s measure.Summary) float64 { return s.All.P99 }

// keys returns the distinct pairs of scene and policy, sorted.
func (t *Table) keys() [][2]string {
	var keys [][2]string
	for _, r := range t.runs {
		if key := [2]string{r.Scene, r.Policy}; !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(b[1], a[1])) })
	return keys
}

// Violations returns the number of false claims found in the runs of a policy.
func (t *Table) Violations(policy string) int {
	n := 0
	for _, r := range t.runs {
		if r.Policy == policy {
			n += len(r.Violations)
		}
	}
	return n
}

// WriteAims writes, for each aim of the scenes, the measure under both policies and whether the aim is met.
func (t *Table) WriteAims(w io.Writer, scenes []scene.Scene) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "scene\tmeasure\taim\tguavaspring\tbaseline\tverdict\tagainst the baseline")
	for _, sc := range scenes {
		for _, aim := range sc.Aims {
			ours, err := t.measureSpread(sc, aim.Measure, PolicySystem)
			if err != nil {
				return err
			}
			plain, err := t.measureSpread(sc, aim.Measure, PolicyBaseline)
			if err != nil {
				return err
			}
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", sc.Name, aim.Measure, aim.Bounds(), ours, plain, verdict(aim, ours), compareToBaseline(ours, plain))
		}
	}
	return tw.Flush()
}

func verdict(aim scene.Aim, s Spread) string {
	switch {
	case s.N == 0:
		return "not run"
	case aim.AtMost == nil && aim.AtLeast == nil:
		return "no bound set"
	case aim.Met(s.Min) && aim.Met(s.Max):
		return "met"
	case !aim.Met(s.Min) && !aim.Met(s.Max):
		return "missed"
	default:
		return "not settled: the rounds disagree"
	}
}

func compareToBaseline(ours, plain Spread) string {
	switch {
	case ours.N == 0 || plain.N == 0:
		return "not run"
	case ours.N < 2 || plain.N < 2:
		return "one round only"
	case !ours.Disjoint(plain):
		return "no difference outside the spread"
	case plain.Median == 0:
		return fmt.Sprintf("%+.4g", ours.Median)
	default:
		return fmt.Sprintf("%.2fx", ours.Median/plain.Median)
	}
}

// measureSpread returns the spread of a measure; ratios are computed against the reference run of the same round.
func (t *Table) measureSpread(sc scene.Scene, name, policy string) (Spread, error) {
	get, ok := Measures[name]
	if !ok {
		return Spread{}, fmt.Errorf("scene %s: unknown measure %q", sc.Name, name)
	}
	refs := t.runsOf(sc.Name+ReferenceSuffix, policy)
	var values []float64
	for _, run := range t.runsOf(sc.Name, policy) {
		var ref measure.Summary
		if i := slices.IndexFunc(refs, func(r measure.Summary) bool { return r.Round == run.Round }); i >= 0 {
			ref = refs[i]
		}
		values = append(values, get(run, ref))
	}
	return SpreadOf(values), nil
}

// Measures maps the names that an aim may use to functions of a run and the reference run of the same round.
var Measures = map[string]func(run, ref measure.Summary) float64{
	"p99_ratio":             func(run, ref measure.Summary) float64 { return run.All.P99 / ref.All.P99 },
	"p99_ms":                func(run, _ measure.Summary) float64 { return run.All.P99 },
	"others_p99_ratio":      func(run, ref measure.Summary) float64 { return run.Others.P99 / ref.Others.P99 },
	"others_complete_share": func(run, _ measure.Summary) float64 { return run.OthersCompleteShare },
	"extra_load":            func(run, _ measure.Summary) float64 { return run.Extra },
	"goodput_ratio":         func(run, ref measure.Summary) float64 { return run.Goodput / ref.Goodput },
	"refusals_p99_ms":       func(run, _ measure.Summary) float64 { return run.Refusals.P99 },
	"coverage_mean":         func(run, _ measure.Summary) float64 { return run.CoverageMean },
	"coverage_worst":        func(run, _ measure.Summary) float64 { return run.CoverageWorst },
	"complete_share":        func(run, _ measure.Summary) float64 { return run.CompleteShare },
	"late_share":            func(run, _ measure.Summary) float64 { return float64(run.Late) / float64(max(1, run.Offered)) },
	"failed":                func(run, _ measure.Summary) float64 { return float64(run.Failed + run.Errors) },
	"unanswered":            func(run, _ measure.Summary) float64 { return float64(run.Failed + run.Errors + run.Refused) },
	"cpu_per_query_ms":      func(run, _ measure.Summary) float64 { return run.CPUPerQueryMS },
	"lies":                  func(run, _ measure.Summary) float64 { return float64(len(run.Violations)) },
	"crashes":               func(run, _ measure.Summary) float64 { return float64(run.Crashes) },
	"after_drain_ms":        func(run, _ measure.Summary) float64 { return float64(run.AfterDrainMS) },
	"writes_done_share":     func(run, _ measure.Summary) float64 { return writesShare(run, "done") },
	"writes_unknown_share":  func(run, _ measure.Summary) float64 { return writesShare(run, "unknown") },
	"refused_connections":   func(run, _ measure.Summary) float64 { return float64(run.RefusedConnections) },
}

func writesShare(run measure.Summary, outcome string) float64 {
	n := 0
	for _, v := range run.Writes {
		n += v
	}
	return float64(run.Writes[outcome]) / float64(max(1, n))
}
