package frontmetrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"guavaspring.org/entry/internal/fairness"
	"guavaspring.org/entry/internal/requestlog"
	"guavaspring.org/entry/internal/scatter"
)

// Options holds the sources of the values that are read at each scrape.
type Options struct {
	// StoreCalls returns the number of calls to the store by purpose, always in the same order.
	StoreCalls func() []StoreCalls
	// ConfigVersion returns the version of the configuration in force, 0 if there is none.
	ConfigVersion func() int64
	// ConfigAge and ReplicasAge return the time since this host's copy was last confirmed to be as new as the store,
	// negative if it never was.
	ConfigAge, ReplicasAge func() time.Duration
	// EvacuationsAge returns the same for the evacuated zones, EvacuatedZones their number.
	EvacuationsAge func() time.Duration
	EvacuatedZones func() int
	// Hosts returns the number of known hosts, Running that of requests in flight, Subqueries that of other hosts'
	// subqueries in flight.
	Hosts, Running, Subqueries func() int
	// Connections returns the number of connections opened to replicas.
	Connections func() uint64
	// LinesSkipped returns the number of log lines dropped by the rate limit, LinesLost that of lines lost by the output.
	LinesSkipped, LinesLost func() uint64
	// Collectors holds collectors of other packages.
	Collectors []prometheus.Collector
}

// StoreCalls is the number of calls to the store for one purpose.
type StoreCalls struct {
	For   string
	Calls int64
}

// Metrics counts requests and serves all metrics of a host.
type Metrics struct {
	// runtime holds the metrics of the process and the Go runtime, which are written after all others.
	registry, runtime *prometheus.Registry
	requests          *prometheus.CounterVec
	durations         *prometheus.HistogramVec
	extraAttempts     *prometheus.CounterVec
	missedShards      prometheus.Counter
	peerShards        prometheus.Counter
	refused           *prometheus.CounterVec
	unreadable        *prometheus.CounterVec
	olderReplies      *prometheus.CounterVec
	// classes counts requests by priority where the configuration distinguishes classes.
	classes *prometheus.CounterVec
	// customers counts requests by customer; customerLabels bounds the number of its series.
	customers      *prometheus.CounterVec
	customerLabels labelSet
}

// maxCustomerSeries is the number of customers with series of their own; the others share one label value.
const maxCustomerSeries = 200

// otherCustomersLabel is the label value of customers without series of their own.
const otherCustomersLabel = "other"

// Label values for the outcomes of customers' requests; that of a refused request is its cause.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
	// outcomeRefused is counted by class only.
	outcomeRefused = "refused"
)

// Label values for the kinds of requests.
const (
	kindGather        = "gather"
	kindIdempotent    = "idempotent"
	kindNonIdempotent = "non_idempotent"
)

// durationBuckets spans the latency objectives and deadlines of routes, in seconds. Near the usual ones they are a
// fifth apart.
var durationBuckets = []float64{.005, .01, .02, .03, .04, .05, .06, .08, .1, .12, .15, .2, .3, .5, .8, 1.2, 2, 5, 10}

// New returns the metrics of a host in registries of their own.
func New(opts Options) *Metrics {
	m := &Metrics{
		registry:      prometheus.NewRegistry(),
		runtime:       prometheus.NewRegistry(),
		requests:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_forwarded_total", Help: "Requests, by kind, ending and status of the answer."}, []string{"kind", "ending", "status"}),
		durations:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "guavaspring_forwarded_seconds", Help: "Time from a request's arrival to its answer.", Buckets: durationBuckets}, []string{"kind"}),
		extraAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_extra_tries_total", Help: "Tries beyond the first of a shard, and those that the budget denied."}, []string{"what"}),
		missedShards:  prometheus.NewCounter(prometheus.CounterOpts{Name: "guavaspring_shards_missed_total", Help: "Shards left out of answers."}),
		peerShards:    prometheus.NewCounter(prometheus.CounterOpts{Name: "guavaspring_shards_through_total", Help: "Shards of requests that another host asked, in its availability zone."}),
		refused:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_refused_total", Help: "Requests refused before they were sent anywhere, by cause; those refused for overload count as forwarded."}, []string{"cause"}),
	}
	m.customers = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_customer_requests_total", Help: "Requests by customer and outcome, which is the cause where a request was refused before it was sent anywhere."}, []string{"customer", "outcome"})
	m.classes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_class_requests_total", Help: "Requests by priority, of the customer or else of the route, and outcome, where the configuration distinguishes classes."}, []string{"priority", "outcome"})
	m.unreadable = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_objects_unreadable_total", Help: "Objects of the store that can't be read, once for each revision, by kind."}, []string{"kind"})
	m.olderReplies = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_answers_older_total", Help: "Answers of the store or of other hosts that were older than what was known, by kind."}, []string{"kind"})
	m.registry.MustRegister(m.requests, m.durations, m.extraAttempts, m.missedShards, m.peerShards, m.refused, m.unreadable, m.olderReplies, m.customers, m.classes)
	m.runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registry.MustRegister(opts.Collectors...)
	for _, c := range []struct {
		name, help string
		read       func() float64
	}{
		{"replica_connections_total", "Connections opened to replicas.", func() float64 { return float64(opts.Connections()) }},
		{"log_lines_skipped_total", "Log lines left out to keep within the limit.", func() float64 { return float64(opts.LinesSkipped()) }},
		{"log_lines_lost_total", "Log lines lost, as the output was not read.", func() float64 { return float64(opts.LinesLost()) }},
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "guavaspring_" + c.name, Help: c.help}, c.read))
	}
	for i, n := range opts.StoreCalls() {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "guavaspring_store_calls_total", Help: "Calls to the platform's store, by what they are for.", ConstLabels: prometheus.Labels{"for": n.For},
		}, func() float64 { return float64(opts.StoreCalls()[i].Calls) }))
	}
	for _, g := range []struct {
		name, help string
		read       func() float64
	}{
		{"config_version", "Version of the configuration in force, 0 for none.", func() float64 { return float64(opts.ConfigVersion()) }},
		{"config_age_seconds", "How long ago the store was known to hold no newer configuration, negative for never.", func() float64 { return opts.ConfigAge().Seconds() }},
		{"replicas_age_seconds", "How long ago the store was known to hold no newer list of replicas, negative for never.", func() float64 { return opts.ReplicasAge().Seconds() }},
		{"evacuations_age_seconds", "How long ago the store was known to hold no newer evacuation, negative for never.", func() float64 { return opts.EvacuationsAge().Seconds() }},
		{"evacuated_zones", "Availability zones to whose replicas this host sends nothing.", func() float64 { return float64(opts.EvacuatedZones()) }},
		{"known_hosts", "Hosts that are not dead, this one included.", func() float64 { return float64(opts.Hosts()) }},
		{"subqueries_in_flight", "Parts of other hosts' requests that this host gathers.", func() float64 { return float64(opts.Subqueries()) }},
		{"requests_in_flight", "Requests in flight.", func() float64 { return float64(opts.Running()) }},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "guavaspring_" + g.name, Help: g.help}, g.read))
	}
	return m
}

// RecordForwarded counts a request that was forwarded to replicas.
func (m *Metrics) RecordForwarded(e *requestlog.Entry) {
	kind := kindNonIdempotent
	switch {
	case len(e.Query.Route.Shards) > 0:
		kind = kindGather
	case e.Query.Route.Idempotent:
		kind = kindIdempotent
	}
	m.requests.WithLabelValues(kind, string(e.Report.Ending), statusClass(e.Status)).Inc()
	m.durations.WithLabelValues(kind).Observe(e.Took.Seconds())
	m.peerShards.Add(float64(e.Report.Through))
	m.extraAttempts.WithLabelValues("hedge").Add(float64(e.Report.Hedges))
	m.extraAttempts.WithLabelValues("retry").Add(float64(e.Report.Retries))
	m.extraAttempts.WithLabelValues("denied").Add(float64(e.Report.Denied))
	outcome := outcomeAnswered
	if e.Status >= http.StatusInternalServerError {
		outcome = outcomeFailed
	}
	m.customer(e.Query.Request.Customer, outcome)
	m.class(&e.Query.Class, e.Report.Ending, outcome)
	if e.Report.Ending == scatter.Partial {
		m.missedShards.Add(float64(len(e.Query.Shards) - e.Report.Answered))
	}
}

// RecordRefused counts a request that was refused before any attempt.
func (m *Metrics) RecordRefused(r requestlog.Refusal) {
	m.refused.WithLabelValues(string(r.Cause)).Inc()
	m.customer(r.Customer, string(r.Cause))
}

// customer counts a request of a customer; name is empty if the customer is not known.
func (m *Metrics) customer(name, outcome string) {
	if name != "" {
		m.customers.WithLabelValues(m.customerLabels.label(name), outcome).Inc()
	}
}

// class counts a request by priority; there are at most fairness.Levels priorities.
func (m *Metrics) class(c *fairness.Class, end scatter.Ending, outcome string) {
	if !c.Active() {
		return
	}
	if end == scatter.Overload {
		outcome = outcomeRefused
	}
	m.classes.WithLabelValues(strconv.Itoa(c.Level()), outcome).Inc()
}

// UnreadableCounter returns a function that counts objects of a kind that can't be decoded.
func (m *Metrics) UnreadableCounter(kind string) func(n int) {
	c := m.unreadable.WithLabelValues(kind)
	return func(n int) { c.Add(float64(n)) }
}

// OlderCounter returns a function that counts replies of a kind that are older than this host's copy.
func (m *Metrics) OlderCounter(kind string) func() { return m.olderReplies.WithLabelValues(kind).Inc }

// statusClass maps a status to one of a few label values, as replicas may reply with any status.
func statusClass(status int) string {
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusBadGateway, status == http.StatusGatewayTimeout:
		return map[int]string{503: "503", 502: "502", 504: "504"}[status]
	case status >= 500:
		return "5xx"
	case status >= 400:
		return "4xx"
	}
	return "2xx"
}

// Handler returns a handler that writes the host's own metrics first, as a collector may keep only the beginning of
// the response.
func (m *Metrics) Handler() http.Handler {
	// The response is written by two handlers in turn, which can't compress it separately.
	opts := promhttp.HandlerOpts{DisableCompression: true}
	own, runtime := promhttp.HandlerFor(m.registry, opts), promhttp.HandlerFor(m.runtime, opts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		own.ServeHTTP(w, r)
		runtime.ServeHTTP(w, r)
	})
}
