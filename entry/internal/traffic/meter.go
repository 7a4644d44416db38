package traffic

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Cause says what bytes are for.
type Cause string

// The causes of traffic. What hosts tell each other is counted by the host that opened the connection, in both
// directions.
const (
	// Replicas is for requests to replicas and their replies.
	Replicas Cause = "replicas"
	// Members is for probes between hosts, and for the news and repairs that travel beside them.
	Members Cause = "members"
	// Relay is for configurations and replicas that hosts hear from each other.
	Relay Cause = "relay"
	// Subqueries is for parts of queries that other hosts gather.
	Subqueries Cause = "subqueries"
	// Store is for calls to the platform's store.
	Store Cause = "store"
)

var causes = [...]Cause{Replicas, Members, Relay, Subqueries, Store}

// Bytes is what was sent and received, without TCP and IP headers.
type Bytes struct{ Sent, Received int64 }

// Meter counts the bytes of connections; the zero value is ready.
type Meter struct {
	counts [2][len(causes)]count
}

type count struct{ sent, received, opened atomic.Int64 }

// Conn returns c, whose bytes are counted from now on; crosses says that its other end is in another availability zone.
func (m *Meter) Conn(c net.Conn, cause Cause, crosses bool) net.Conn {
	n := m.count(cause, crosses)
	n.opened.Add(1)
	return &conn{Conn: c, count: n}
}

// Read returns the bytes of a cause, inside the host's availability zone or across its border.
func (m *Meter) Read(cause Cause, crosses bool) Bytes {
	n := m.count(cause, crosses)
	return Bytes{Sent: n.sent.Load(), Received: n.received.Load()}
}

func (m *Meter) count(cause Cause, crosses bool) *count {
	side := 0
	if crosses {
		side = 1
	}
	for i, c := range causes {
		if c == cause {
			return &m.counts[side][i]
		}
	}
	panic("traffic: unknown cause " + string(cause))
}

// Collectors returns the metrics.
func (m *Meter) Collectors() []prometheus.Collector {
	var list []prometheus.Collector
	for _, cause := range causes {
		for _, crosses := range []bool{false, true} {
			n := m.count(cause, crosses)
			labels := prometheus.Labels{"cause": string(cause), "to": place(crosses)}
			list = append(list,
				counter("guavaspring_traffic_sent_bytes_total", "Bytes sent, without TCP and IP headers, by cause and by whether they leave the availability zone.", labels, &n.sent),
				counter("guavaspring_traffic_received_bytes_total", "Bytes received, without TCP and IP headers, by cause and by whether they come from another availability zone.", labels, &n.received),
				counter("guavaspring_traffic_connections_total", "Connections opened, by cause and by whether they leave the availability zone.", labels, &n.opened))
		}
	}
	return list
}

// place is the label that tells the two sides of a zone's border apart.
func place(crosses bool) string {
	if crosses {
		return "other_zone"
	}
	return "own_zone"
}

func counter(name, help string, labels prometheus.Labels, n *atomic.Int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(n.Load()) })
}

// Fields returns what crossed the border of the zone and what stayed inside, by cause, as key-value pairs for a log
// line, in bytes both ways.
func (m *Meter) Fields() []any {
	var kv []any
	for _, cause := range causes {
		for _, crosses := range []bool{false, true} {
			b := m.Read(cause, crosses)
			kv = append(kv, string(cause)+"_"+place(crosses), b.Sent+b.Received)
		}
	}
	return kv
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	count *count
}

// Read counts what arrives.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.received.Add(int64(n))
	return n, err
}

// Write counts what is sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.sent.Add(int64(n))
	return n, err
}
