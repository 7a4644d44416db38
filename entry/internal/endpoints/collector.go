package endpoints

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"guavaspring.org/entry/internal/inflight"
)

const (
	// maxReplicaSeries bounds the replicas with series of their own. All others of a service share one label value.
	maxReplicaSeries = 400
	// otherReplicas is the label value of replicas without series of their own.
	otherReplicas = "other"
)

// Collectors returns the metrics of the load on the replicas.
func (t *Table) Collectors() []prometheus.Collector {
	return []prometheus.Collector{&loadCollector{table: t}}
}

var (
	requestsDesc = prometheus.NewDesc("guavaspring_replica_requests_total", "Requests of this host to a replica since it was listed.", []string{"service", "replica"}, nil)
	capacityDesc = prometheus.NewDesc("guavaspring_replica_capacity", "Capacity of a replica as this host knows it: its slots, divided by its reply time as a multiple of the usual one.", []string{"service", "replica"}, nil)
	balancedDesc = prometheus.NewDesc("guavaspring_load_balanced", "Whether this host spreads requests over the replicas of a service by their capacity.", nil, nil)
)

// loadCollector collects the requests and the capacity of the listed replicas.
type loadCollector struct {
	table *Table

	mu sync.Mutex
	// named holds the replicas with series of their own, by ID.
	named map[string]bool
}

// Describe implements prometheus.Collector.
func (c *loadCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- requestsDesc
	ch <- capacityDesc
	ch <- balancedDesc
}

// replicaLoad is the load of one replica, or of the others of a service.
type replicaLoad struct {
	service, replica   string
	requests, capacity float64
}

// Collect implements prometheus.Collector.
func (c *loadCollector) Collect(ch chan<- prometheus.Metric) {
	for _, l := range c.loads(c.table.loads()) {
		ch <- prometheus.MustNewConstMetric(requestsDesc, prometheus.CounterValue, l.requests, l.service, l.replica)
		ch <- prometheus.MustNewConstMetric(capacityDesc, prometheus.GaugeValue, l.capacity, l.service, l.replica)
	}
	on := 0.0
	if c.table.Balanced() {
		on = 1
	}
	ch <- prometheus.MustNewConstMetric(balancedDesc, prometheus.GaugeValue, on)
}

// loads sums up the replicas beyond maxReplicaSeries by service. A replica keeps its series while it is listed.
func (c *loadCollector) loads(all []replicaLoad) []replicaLoad {
	slices.SortFunc(all, func(a, b replicaLoad) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.replica, b.replica))
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	named := map[string]bool{}
	for _, l := range all {
		if c.named[l.replica] {
			named[l.replica] = true
		}
	}
	list, others := make([]replicaLoad, 0, len(all)), map[string]int{}
	for _, l := range all {
		if named[l.replica] || len(named) < maxReplicaSeries {
			named[l.replica] = true
			list = append(list, l)
			continue
		}
		i, ok := others[l.service]
		if !ok {
			i = len(list)
			others[l.service] = i
			list = append(list, replicaLoad{service: l.service, replica: otherReplicas})
		}
		list[i].requests += l.requests
		list[i].capacity += l.capacity
	}
	c.named = named
	return list
}

// loads returns the loads of the listed replicas.
func (t *Table) loads() []replicaLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	list := make([]replicaLoad, 0, len(t.replicas))
	for _, r := range t.replicas {
		r.mu.Lock()
		list = append(list, replicaLoad{
			service: r.row.Service, replica: r.row.ID, requests: float64(r.lastRequest),
			capacity: float64(inflight.Slots(r.row.Slots)) / max(r.slownessAt(now), 0.1),
		})
		r.mu.Unlock()
	}
	return list
}
