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
	// msgCosts and msgStarted are the messages of the log lines that are read.
	msgCosts   = "host_costs"
	msgStarted = "host_started"
	// ownZone and otherZone are the suffixes of the fields that count the bytes of a cause, sent within the zone or to
	// another one; storeCalls is the prefix of those that count calls to the platform.
	ownZone    = "_own_zone"
	otherZone  = "_other_zone"
	storeCalls = "store_"
)

// Sum adds the last cost line of each process; the figures of a line are cumulative since the start of the process.
type Sum struct {
	// last holds the newest cost line of the running process of each host.
	last map[string]map[string]int64
	// total holds the costs of all processes that have ended.
	total     map[string]int64
	processes int
}

// New returns an empty Sum.
func New() *Sum { return &Sum{last: map[string]map[string]int64{}, total: map[string]int64{}} }

// AddFiles adds the costs in the logs at paths.
func (s *Sum) AddFiles(paths []string) error { return loglines.Files(paths, s.Add) }

// Add adds the costs in one log. Log collectors may merge the lines of several hosts into one file; the last word
// before the JSON object of a line then names the host.
func (s *Sum) Add(name string, log io.Reader) error {
	err := loglines.Scan(log, func(before, object []byte) {
		host := name
		if words := strings.Fields(string(before)); len(words) > 0 {
			host += " " + words[len(words)-1]
		}
		s.addLine(host, object)
	})
	if err != nil {
		return fmt.Errorf("read log %s: %w", name, err)
	}
	return nil
}

func (s *Sum) addLine(host string, raw []byte) {
	var head struct {
		Msg string `json:"msg"`
	}
	if json.Unmarshal(raw, &head) != nil {
		return
	}
	switch head.Msg {
	case msgStarted:
		s.endProcess(host)
	case msgCosts:
		s.last[host] = costFields(raw)
	}
}

// endProcess adds the last costs of a host's process to the total, as the process has ended.
func (s *Sum) endProcess(host string) {
	for name, n := range s.last[host] {
		s.total[name] += n
	}
	if s.last[host] != nil {
		s.processes++
	}
	delete(s.last, host)
}

// costFields returns the traffic and call counts of a cost line.
func costFields(raw []byte) map[string]int64 {
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

// Print writes the sums: traffic by cause, within and between availability zones, and calls to the platform by purpose.
func (s *Sum) Print(w io.Writer) error {
	for host := range maps.Clone(s.last) {
		s.endProcess(host)
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
