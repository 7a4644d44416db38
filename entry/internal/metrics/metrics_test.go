package metrics_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"guavaspring.org/entry/internal/admission"
	"guavaspring.org/entry/internal/admission/queue"
	"guavaspring.org/entry/internal/metrics"
)

// Guards against renamed metrics and labels, which would break operators' dashboards and alerts.
func TestMetricsAreNamedAsDocumented(t *testing.T) {
	m := metrics.New(metrics.Options{
		Gates: func() map[string]admission.Stats {
			return map[string]admission.Stats{"remnant-finder": {
				Running: 3, Waiting: 2, Limit: 16, Waits: 5, WaitTotal: 250 * time.Millisecond,
				Refused: map[queue.Reason]uint64{queue.ReasonLate: 7},
			}}
		},
		Running: func() int { return 4 },
		Hosts:   func() map[string]int { return map[string]int{"alive": 7} },
	})
	m.Answered("remnant-finder", "query", "partial", 20*time.Millisecond)
	want := `
# HELP guavaspring_admission_limit The most queries that run at once, as the upstream's replies allow.
# TYPE guavaspring_admission_limit gauge
guavaspring_admission_limit{service="remnant-finder"} 16
# HELP guavaspring_admission_refused_total Queries refused by admission.
# TYPE guavaspring_admission_refused_total counter
guavaspring_admission_refused_total{reason="it can't be answered before its deadline",service="remnant-finder"} 7
# HELP guavaspring_admission_wait_seconds_total Time that queries which then ran had waited.
# TYPE guavaspring_admission_wait_seconds_total counter
guavaspring_admission_wait_seconds_total{service="remnant-finder"} 0.25
# HELP guavaspring_hosts Hosts known to this one, by state.
# TYPE guavaspring_hosts gauge
guavaspring_hosts{state="alive"} 7
# HELP guavaspring_requests_in_flight Requests of any kind in flight.
# TYPE guavaspring_requests_in_flight gauge
guavaspring_requests_in_flight 4
# HELP guavaspring_requests_total Requests answered, by outcome.
# TYPE guavaspring_requests_total counter
guavaspring_requests_total{kind="query",outcome="partial",service="remnant-finder"} 1
`
	err := testutil.GatherAndCompare(m.Registry(), strings.NewReader(want),
		"guavaspring_admission_limit", "guavaspring_admission_refused_total", "guavaspring_admission_wait_seconds_total",
		"guavaspring_hosts", "guavaspring_requests_in_flight", "guavaspring_requests_total")
	qt.Assert(t, err, qt.IsNil)
}
