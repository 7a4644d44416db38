package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"guavaspring.org/entry/internal/admission"
)

// Options holds the sources of the values that are read at each scrape.
type Options struct {
	// Gates returns the present state of the admission gate of each service.
	Gates func() map[string]admission.Stats
	// Running returns the number of requests of any kind in flight.
	Running func() int
	// Hosts returns the number of hosts in the member list, by state.
	Hosts func() map[string]int
}

// Metrics counts the requests of a host and reads the state of its admission gates and member list at each scrape.
type Metrics struct {
	opts     Options
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// The descriptions of the metrics that are read from the admission gates and the member list.
var (
	running     = newDesc("admission_running", "Queries that run now.", "service")
	waiting     = newDesc("admission_waiting", "Queries that wait for a place now.", "service")
	limit       = newDesc("admission_limit", "The most queries that run at once, as the upstream's replies allow.", "service")
	refused     = newDesc("admission_refused_total", "Queries refused by admission.", "service", "reason")
	waits       = newDesc("admission_waits_total", "Queries that waited and then ran.", "service")
	waitSeconds = newDesc("admission_wait_seconds_total", "Time that queries which then ran had waited.", "service")
	inFlight    = newDesc("requests_in_flight", "Requests of any kind in flight.")
	hosts       = newDesc("hosts", "Hosts known to this one, by state.", "state")
)

// newDesc returns the description of a metric with the prefix of all metrics of the project.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("guavaspring_"+name, help, labels, nil)
}

// durationBuckets spans the deadlines that a document allows, 1 ms to 1 minute, in seconds. Near the usual ones they
// are at most a fifth apart.
var durationBuckets = []float64{.001, .002, .005, .01, .015, .02, .03, .04, .05, .06, .07, .08, .091, .1, .12, .15, .2, .3, .5, 1, 2, 5, 10, 60}

// New returns metrics in a new registry, which also holds those of the process and the Go runtime.
func New(opts Options) *Metrics {
	m := &Metrics{
		opts: opts, registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_requests_total", Help: "Requests answered, by outcome."}, []string{"service", "kind", "outcome"}),
		seconds:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "guavaspring_request_seconds", Help: "Time from a request's arrival to its answer, by outcome.", Buckets: durationBuckets}, []string{"service", "kind", "outcome"}),
	}
	m.registry.MustRegister(m, m.requests, m.seconds, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Registry returns the registry of all metrics of the host.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Answered counts a request that was answered after took; kind is "query" or "write".
func (m *Metrics) Answered(service, kind, outcome string, took time.Duration) {
	m.requests.WithLabelValues(service, kind, outcome).Inc()
	m.seconds.WithLabelValues(service, kind, outcome).Observe(took.Seconds())
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{running, waiting, limit, refused, waits, waitSeconds, inFlight, hosts} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	for service, s := range m.opts.Gates() {
		gauge(running, float64(s.Running), service)
		gauge(waiting, float64(s.Waiting), service)
		gauge(limit, float64(s.Limit), service)
		counter(waits, float64(s.Waits), service)
		counter(waitSeconds, s.WaitTotal.Seconds(), service)
		for reason, n := range s.Refused {
			counter(refused, float64(n), service, string(reason))
		}
	}
	gauge(inFlight, float64(m.opts.Running()))
	for state, n := range m.opts.Hosts() {
		gauge(hosts, float64(n), state)
	}
}
