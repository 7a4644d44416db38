package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/core/settings"
	"guavaspring.org/load/internal/drive"
	"guavaspring.org/load/internal/measure"
	"guavaspring.org/load/internal/report"
	"guavaspring.org/load/internal/scene"
	"guavaspring.org/load/internal/truth"
)

func runCommand(app *kingpin.Application) command {
	cmd := app.Command("run", "Run one scene once against one set of hosts, compare the answers with the truth and print the measures.")
	file := cmd.Flag("scene", "File of the scene.").Required().String()
	reference := cmd.Flag("reference", "Run what the scene's ratios are taken against, instead of the scene.").Bool()
	policy := cmd.Flag("policy", "Name of what the hosts run, for the table.").Default(report.PolicySystem).String()
	round := cmd.Flag("round", "Number of the round.").Default("1").Int()
	seed := cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	hostList := settings.AddrPorts(cmd.Flag("hosts", "IP:port,... of hosts to ask for addresses.").Required())
	fleets := cmd.Flag("fleet", "SERVICE=IP:PORT+COUNT of the replicas whose truth is compared; may be repeated.").Required().Strings()
	plat := settings.AddrPort(cmd.Flag("platform", "IP:port of the platform stand-in, for its faults."))
	pids := cmd.Flag("pid", "Process of a host whose processor time is measured; may be repeated.").Ints()
	out := cmd.Flag("out", "Directory for the figures.").Default(".out/bench").String()
	explain := cmd.Flag("explain", "Also print the explanation of the answer that covered least or took longest.").Bool()
	return command{cmd.FullCommand(), func() error {
		sc, err := scene.Read(*file)
		if err != nil {
			return usageError{err}
		}
		if *reference {
			if sc, err = sc.AsReference(); err != nil {
				return usageError{err}
			}
			sc.Name += report.ReferenceSuffix
		}
		opts := drive.Options{
			Scene: sc, Seed: *seed, Run: fmt.Sprintf("%s-%s-%d", sc.Name, *policy, *round),
			Hosts: *hostList, Platform: *plat, PIDs: *pids,
		}
		for _, f := range *fleets {
			fleet, err := truth.Parse(f)
			if err != nil {
				return usageError{fmt.Errorf("--fleet: %w", err)}
			}
			opts.Fleets = append(opts.Fleets, fleet)
		}
		return runScene(opts, *policy, *round, *out, *explain)
	}}
}

func runScene(opts drive.Options, policy string, round int, out string, explain bool) error {
	d, err := drive.New(opts)
	if err != nil {
		return err
	}
	sum := d.Run(context.Background())
	sum.Policy, sum.Round = policy, round
	if err := report.Write(out, sum, d.Samples()); err != nil {
		return err
	}
	printSummary(sum)
	if explain {
		printExplanation(d)
	}
	if len(sum.Violations) > 0 {
		return violationsError{len(sum.Violations)}
	}
	return nil
}

func printSummary(s measure.Summary) {
	w := os.Stdout
	fmt.Fprintf(w, "%s, %s, round %d\n", s.Scene, s.Policy, s.Round)
	fmt.Fprintf(w, "  latency of complete answers  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms  (%d)\n", s.Complete.P50, s.Complete.P99, s.Complete.P999, s.Complete.N)
	fmt.Fprintf(w, "  latency of all answers       p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms  (%d)\n", s.All.P50, s.All.P99, s.All.P999, s.All.N)
	fmt.Fprintf(w, "  coverage                     mean %.4f  complete %.2f%%  worst %.2f\n", s.CoverageMean, s.CompleteShare*100, s.CoverageWorst)
	fmt.Fprintf(w, "  extra load                   %.2f%%  (%d sent, %d needed)%s\n", s.Extra*100, s.Sent, s.Needed, unreadNote(s))
	fmt.Fprintf(w, "  of %d queries                goodput %.0f/s  refused %d (p99 %.1f ms)  failed %d  errors %d  late %d\n", s.Offered, s.Goodput, s.Refused, s.Refusals.P99, s.Failed, s.Errors, s.Late)
	printReasons(w, s.QueryReasons)
	if s.CPUPerQueryMS > 0 {
		fmt.Fprintf(w, "  processor time               %.2f ms a query\n", s.CPUPerQueryMS)
	}
	fmt.Fprintf(w, "  upstream connections         %d refused; the most at one replica:", s.RefusedConnections)
	for _, service := range slices.Sorted(maps.Keys(s.PeakConnections)) {
		fmt.Fprintf(w, " %s %d", service, s.PeakConnections[service])
	}
	fmt.Fprintln(w)
	if len(s.Writes) > 0 {
		fmt.Fprintf(w, "  writes                       done %d  not_run %d  unknown %d  not sent %d\n", s.Writes["done"], s.Writes["not_run"], s.Writes["unknown"], s.Writes["not_sent"])
	}
	printReasons(w, s.WriteReasons)
	if s.Crashes > 0 {
		fmt.Fprintf(w, "  crashes by a request         %d\n", s.Crashes)
	}
	if s.AfterDrainMS > 0 {
		fmt.Fprintf(w, "  work after a drain began     for %d ms\n", s.AfterDrainMS)
	}
	fmt.Fprintf(w, "  untruths                     %d\n", len(s.Violations))
	for _, l := range s.Violations {
		fmt.Fprintf(w, "    %s\n", l)
	}
}

// printReasons writes the most frequent reasons. Reasons that contain a port number can differ for every request.
func printReasons(w io.Writer, reasons map[string]int) {
	keys := slices.SortedFunc(maps.Keys(reasons), func(a, b string) int {
		return cmp.Or(cmp.Compare(reasons[b], reasons[a]), cmp.Compare(a, b))
	})
	for _, reason := range keys[:min(len(keys), maxReasons)] {
		fmt.Fprintf(w, "    %4d x %s\n", reasons[reason], reason)
	}
}

const maxReasons = 5

func unreadNote(s measure.Summary) string {
	if s.UnreadReplicas == 0 {
		return ""
	}
	return fmt.Sprintf("; %d replicas could not be read at the end, so their last second is left out", s.UnreadReplicas)
}

func printExplanation(d *drive.Driver) {
	var rec struct {
		TookMS    float64 `json:"took_ms"`
		Decisions []struct {
			AtMS    float64 `json:"at_ms"`
			What    string  `json:"what"`
			Shard   int     `json:"shard"`
			Replica string  `json:"replica"`
			Why     string  `json:"why"`
		} `json:"decisions"`
	}
	ans, err := d.Explain(context.Background(), &rec)
	if err != nil {
		fmt.Printf("  no explanation: %v\n", err)
		return
	}
	missing := "none"
	if len(ans.Coverage.Missing) > 0 {
		missing = strings.Trim(fmt.Sprint(ans.Coverage.Missing), "[]")
	}
	fmt.Printf("the answer that covered least or took longest: %s, %d of %d shards, missing: %s, %.1f ms in the host, explanation %s\n",
		ans.Outcome, ans.Coverage.Answered, ans.Coverage.Shards, missing, rec.TookMS, ans.ExplanationID)
	for _, dec := range rec.Decisions {
		fmt.Printf("  %7.1f ms  %-8s shard %2d  %-22s %s\n", dec.AtMS, dec.What, dec.Shard, dec.Replica, strings.TrimSpace(dec.Why))
	}
}
