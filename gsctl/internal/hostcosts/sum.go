package hostcosts

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"guavaspring.org/gsctl/internal/loglines"
)

const (
	// msgCosts and msgStarted are the names of the lines that are read.
	msgCosts   = "host_costs"
	msgStarted = "host_started"
	// ownZone, otherZone and storeCalls mark the fields of a line of costs: bytes of a cause by where they went, and
	// calls to the platform.
	ownZone    = "_own_zone"
	otherZone  = "_other_zone"
	storeCalls = "store_"
)

// Sum adds up the last line of costs of each process: each line holds what its process has cost since it started.
type Sum struct {
	// last is the newest line of each host's running process.
	last map[string]map[string]int64
	// total holds processes that were followed by another one of their host.
	total     map[string]int64
	processes int
}

// New returns a sum of nothing.
func New() *Sum { return &Sum{last: map[string]map[string]int64{}, total: map[string]int64{}} }

// AddFiles adds the logs at paths.
func (s *Sum) AddFiles(paths []string) error { return loglines.Files(paths, s.Add) }

// Add adds one log. The last word before the object of a line names its host, where collectors put the lines of several
// hosts into one file.
func (s *Sum) Add(name string, log io.Reader) error {
	err := loglines.Scan(log, func(before, object []byte) {
		host := name
		if words := strings.Fields(string(before)); len(words) > 0 {
			host += " " + words[len(words)-1]
		}
		s.line(host, object)
	})
	if err != nil {
		return fmt.Errorf("read log %s: %w", name, err)
	}
	return nil
}

func (s *Sum) line(host string, raw []byte) {
	var head struct {
		Msg string `json:"msg"`
	}
	if json.Unmarshal(raw, &head) != nil {
		return
	}
	switch head.Msg {
	case msgStarted:
		s.end(host)
	case msgCosts:
		s.last[host] = numbers(raw)
	}
}

// end adds the costs of a host's process that has been followed by another one.
func (s *Sum) end(host string) {
	for name, n := range s.last[host] {
		s.total[name] += n
	}
	if s.last[host] != nil {
		s.processes++
	}
	delete(s.last, host)
}

// numbers returns the fields of a line of costs.
func numbers(raw []byte) map[string]int64 {
	var fields map[string]any
	if json.Unmarshal(raw, &fields) != nil {
		return nil
	}
	costs := map[string]int64{}
	for name, v := range fields {
		n, ok := v.(float64)
		if ok && (strings.HasSuffix(name, ownZone) || strings.HasSuffix(name, otherZone) || strings.HasPrefix(name, storeCalls)) {
			costs[name] = int64(n)
		}
	}
	return costs
}

// Print writes the sums: bytes by cause, inside availability zones and between them, and calls to the platform by what
// they are for.
func (s *Sum) Print(w io.Writer) error {
	for host := range maps.Clone(s.last) {
		s.end(host)
	}
	fmt.Fprintf(w, "%d processes\n", s.processes)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "MB for\tin zones\tbetween\t\n")
	var calls []string
	for _, name := range slices.Sorted(maps.Keys(s.total)) {
		cause, bytes := strings.CutSuffix(name, otherZone)
		switch {
		case bytes:
			fmt.Fprintf(out, "%s\t%.1f\t%.1f\t\n", cause, megabytes(s.total[cause+ownZone]), megabytes(s.total[name]))
		case !strings.HasSuffix(name, ownZone):
			calls = append(calls, name)
		}
	}
	fmt.Fprintf(out, "calls to the platform\t\t\t\n")
	for _, name := range calls {
		fmt.Fprintf(out, "%s\t%d\t\t\n", strings.TrimPrefix(name, storeCalls), s.total[name])
	}
	return out.Flush()
}

func megabytes(n int64) float64 { return float64(n) / 1e6 }
