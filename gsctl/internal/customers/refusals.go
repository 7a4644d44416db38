package customers

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"guavaspring.org/gsctl/internal/loglines"
)

// msgRefused is the message of the log lines that are counted.
const msgRefused = "request_refused"

// unknownKey is the cause of refusals that belong to no customer; their reason contains the digest of the key.
const unknownKey = "unknown_key"

// refusalKey identifies the refusals of one customer for one cause and reason.
type refusalKey struct {
	customer, cause, reason string
}

// refusalCount is the number of refusals with the times of the first and the last one.
type refusalCount struct {
	count       int
	first, last time.Time
}

// Refusals counts refused requests by customer and cause.
type Refusals struct{ counts map[refusalKey]*refusalCount }

// New returns Refusals without any counts.
func New() *Refusals { return &Refusals{counts: map[refusalKey]*refusalCount{}} }

// AddFiles counts the refusals in the logs at paths.
func (s *Refusals) AddFiles(paths []string) error { return loglines.Files(paths, s.Add) }

// Add counts the refusals in one log.
func (s *Refusals) Add(name string, log io.Reader) error {
	err := loglines.Scan(log, func(_, object []byte) { s.addLine(object) })
	if err != nil {
		return fmt.Errorf("read log %s: %w", name, err)
	}
	return nil
}

func (s *Refusals) addLine(raw []byte) {
	var line struct {
		Time     time.Time `json:"ts"`
		Msg      string    `json:"msg"`
		Cause    string    `json:"cause"`
		Customer string    `json:"customer"`
		Reason   string    `json:"reason"`
	}
	if json.Unmarshal(raw, &line) != nil || line.Msg != msgRefused || line.Customer == "" && line.Cause != unknownKey {
		return
	}
	// The reason is the text sent to the client, followed by "; " and the detail behind the decision.
	_, detail, _ := strings.Cut(line.Reason, "; ")
	key := refusalKey{customer: cmp.Or(line.Customer, "-"), cause: line.Cause, reason: detail}
	n := s.counts[key]
	if n == nil {
		n = &refusalCount{first: line.Time, last: line.Time}
		s.counts[key] = n
	}
	n.count++
	if line.Time.Before(n.first) {
		n.first = line.Time
	}
	if line.Time.After(n.last) {
		n.last = line.Time
	}
}

// Print writes the counts as a table, starting with the customer that was refused most often.
func (s *Refusals) Print(w io.Writer) error {
	sums := map[string]int{}
	rows := make([]refusalKey, 0, len(s.counts))
	for key, n := range s.counts {
		sums[key.customer] += n.count
		rows = append(rows, key)
	}
	slices.SortFunc(rows, func(a, b refusalKey) int {
		return cmp.Or(cmp.Compare(sums[b.customer], sums[a.customer]), cmp.Compare(a.customer, b.customer),
			cmp.Compare(s.counts[b].count, s.counts[a].count), cmp.Compare(a.cause, b.cause), cmp.Compare(a.reason, b.reason))
	})
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "customer\trefused\tcause\tdetail\tfirst\tlast")
	for _, key := range rows {
		n := s.counts[key]
		fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%s\n", key.customer, n.count, key.cause, key.reason, n.first.Format(time.RFC3339), n.last.Format(time.RFC3339))
	}
	return out.Flush()
}
