package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"guavaspring.org/entry/internal/admission"
)

// Options configures Metrics.
type Options struct {
	// Gates returns what the gate of each service holds now.
	Gates func() map[string]admission.Stats
	// Running returns how many requests of any kind are in flight.
	Running func() int
	// Hosts returns how many hosts this one knows, by state.
	Hosts func() map[string]int
}

// Metrics counts the requests of a host and, each time it is read, what its gates hold.
type Metrics struct {
	opts     Options
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// The descriptions of what is read from gates and from the list of hosts.
var (
	running = desc("admission_running", "Queries that run now.", "service")
	waiting = desc("admission_waiting", "Queries that wait for a place now.", "service")
	limit   = desc("admission_limit", "The most queries that run at once, as the upstream's replies allow.", "service")
	refused = desc("admission_refused_total", "Queries refused by admission.", "service", "reason")
	waits   = desc("admission_waits_total", "Queries that waited and then ran.", "service")
	waited  = desc("admission_wait_seconds_total", "Time that queries which then ran had waited.", "service")
	flying  = desc("requests_in_flight", "Requests of any kind in flight.")
	hosts   = desc("hosts", "Hosts known to this one, by state.", "state")
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("guavaspring_"+name, help, labels, nil)
}

// seconds spans the deadlines that a document allows, 1 ms to a minute, at most a fifth apart near the usual ones.
var buckets = []float64{.001, .002, .005, .01, .015, .02, .03, .04, .05, .06, .07, .08, .091, .1, .12, .15, .2, .3, .5, 1, 2, 5, 10, 60}

// New returns metrics in a registry of their own, with those of the process and the Go runtime.
func New(opts Options) *Metrics {
	m := &Metrics{
		opts: opts, registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "guavaspring_requests_total", Help: "Requests answered, by outcome."}, []string{"service", "kind", "outcome"}),
		seconds:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "guavaspring_request_seconds", Help: "Time from a request's arrival to its answer, by outcome.", Buckets: buckets}, []string{"service", "kind", "outcome"}),
	}
	m.registry.MustRegister(m, m.requests, m.seconds, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Registry returns the registry to publish.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Answered counts a request of a kind, "query" or "write", that was answered after took.
func (m *Metrics) Answered(service, kind, outcome string, took time.Duration) {
	m.requests.WithLabelValues(service, kind, outcome).Inc()
	m.seconds.WithLabelValues(service, kind, outcome).Observe(took.Seconds())
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{running, waiting, limit, refused, waits, waited, flying, hosts} {
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
		counter(waited, s.WaitTotal.Seconds(), service)
		for reason, n := range s.Refused {
			counter(refused, float64(n), service, string(reason))
		}
	}
	gauge(flying, float64(m.opts.Running()))
	for state, n := range m.opts.Hosts() {
		gauge(hosts, float64(n), state)
	}
}
