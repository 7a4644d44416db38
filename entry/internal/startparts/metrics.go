package startparts

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the start.
func (s *Source) Collectors() []prometheus.Collector {
	gauge := func(name, help string, read func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(read()) })
	}
	return []prometheus.Collector{
		gauge("guavaspring_start_parts", "Parts of the customers' limits that were known at the host's start; 0 if none were, or a minute after it.", func() int { return s.Hint().Parts }),
		gauge("guavaspring_limit_parts", "Parts that the customers' limits are divided into; 0 without limits, and on a host that has just started.", func() int { return s.opts.Running().Parts }),
	}
}
