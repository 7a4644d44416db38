package peers

import (
	"github.com/prometheus/client_golang/prometheus"

	"guavaspring.org/entry/internal/member"
)

// Collectors returns the metrics of the traffic with other hosts and of what is shared with them.
func (p *Peers) Collectors() []prometheus.Collector {
	t := &p.traffic
	return []prometheus.Collector{
		counter("entry_peer_received_bytes_total", "Bytes received from other hosts, without TCP and IP headers.", t.in.Load),
		counter("entry_peer_sent_bytes_total", "Bytes sent to other hosts, without TCP and IP headers.", t.out.Load),
		counter("entry_peer_reads_total", "Reads from connections with other hosts, about one for each segment received.", t.reads.Load),
		counter("entry_peer_writes_total", "Writes to connections with other hosts, about one for each segment sent.", t.writes.Load),
		counter("entry_peer_dials_total", "Connections opened to other hosts.", t.connections.Load),
		gauge("entry_rumors", "Rumors that are alive.", p.opts.Rumors.Len),
		gauge("entry_generations", "Services whose configuration is in force here.", func() int { return len(p.opts.Store.All()) }),
		p.members(member.StateAlive), p.members(member.StateSuspect), p.members(member.StateLeaving),
	}
}

func counter(name, help string, f func() int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(f()) })
}

func gauge(name, help string, f func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(f()) })
}

func (p *Peers) members(state member.State) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "entry_members", Help: "Hosts that this one knows, itself included, by state.",
		ConstLabels: prometheus.Labels{"state": string(state)},
	}, func() float64 {
		n := 0
		for _, h := range p.opts.List.Hosts() {
			if h.State == state {
				n++
			}
		}
		return float64(n)
	})
}
