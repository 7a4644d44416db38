package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/fanout"
)

// Metrics counts the coverage and extra load of a host's services. Request latency is measured in the server that
// answers the requests.
type Metrics struct {
	attempts      *prometheus.CounterVec
	extraAttempts *prometheus.CounterVec
	missedShards  *prometheus.CounterVec
	ejections     *prometheus.CounterVec
	coverage      *prometheus.HistogramVec
}

// NewMetrics returns the metrics, registered at reg unless that is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	const ns = "guavaspring"
	m := &Metrics{
		attempts:      prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: ns, Name: "tries_total", Help: "Tries sent upstream, by how they ended."}, []string{"service", "kind"}),
		extraAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: ns, Name: "extra_tries_total", Help: "Tries beyond the first of each shard, by what decided them."}, []string{"service", "decision"}),
		missedShards: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: ns, Name: "shards_missed_total", Help: "Shards that an answer names as missing."},
			[]string{"service"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: ns, Name: "replica_verdicts_total", Help: "Replicas ejected for being slow or failing, and restored after a good try."},
			[]string{"service", "verdict"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: ns, Name: "coverage_ratio", Help: "Share of the shards that answered, of each query that ran.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 1}}, []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(m.attempts, m.extraAttempts, m.missedShards, m.ejections, m.coverage)
	}
	return m
}

func (m *Metrics) countAttempt(service string, kind upstream.Kind) {
	m.attempts.WithLabelValues(service, string(kind)).Inc()
}

func (m *Metrics) countEjectionChange(service string, ejected bool) {
	verdict := "restored"
	if ejected {
		verdict = "ejected"
	}
	m.ejections.WithLabelValues(service, verdict).Inc()
}

func (m *Metrics) observeRun(service string, report fanout.Report) {
	m.coverage.WithLabelValues(service).Observe(report.Coverage.Share)
	m.missedShards.WithLabelValues(service).Add(float64(len(report.Coverage.Missing)))
	for _, d := range report.Decisions {
		switch d.What {
		case fanout.WhatRetry, fanout.WhatHedge, fanout.WhatTrial, fanout.WhatReplan:
			m.extraAttempts.WithLabelValues(service, d.What).Inc()
		}
	}
}
