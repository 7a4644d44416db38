package peers

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the traffic with other hosts and of the rumors and generations shared with them.
func (p *Peers) Collectors() []prometheus.Collector {
	t := &p.traffic
	return []prometheus.Collector{
		counter("guavaspring_peer_received_bytes_total", "Bytes received from other hosts, without TCP and IP headers.", t.received.Load),
		counter("guavaspring_peer_sent_bytes_total", "Bytes sent to other hosts, without TCP and IP headers.", t.sent.Load),
		counter("guavaspring_peer_reads_total", "Reads from connections with other hosts, about one for each segment received.", t.reads.Load),
		counter("guavaspring_peer_writes_total", "Writes to connections with other hosts, about one for each segment sent.", t.writes.Load),
		counter("guavaspring_peer_dials_total", "Connections opened to other hosts.", t.dials.Load),
		counter("guavaspring_rumors_dropped_total", "Rumors dropped because the store is full of rumors that live longer.", func() int64 { return int64(p.opts.Rumors.Dropped()) }),
		gauge("guavaspring_rumors", "Rumors that are alive.", p.opts.Rumors.Len),
		gauge("guavaspring_generations", "Services whose configuration is in force here.", func() int { return len(p.opts.Store.All()) }),
	}
}

func counter(name, help string, f func() int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(f()) })
}

func gauge(name, help string, f func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(f()) })
}
