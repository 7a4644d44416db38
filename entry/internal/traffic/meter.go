package traffic

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Cause is the purpose of a connection.
type Cause string

// The causes of traffic. Traffic between hosts is counted by the host that opened the connection, in both directions.
const (
	// Replicas is for requests to replicas and their replies.
	Replicas Cause = "replicas"
	// Members is for probes between hosts, and for the gossip and anti-entropy messages of the same protocol.
	Members Cause = "members"
	// Relay is for configurations and replica lists that hosts receive from each other.
	Relay Cause = "relay"
	// Subqueries is for parts of queries that other hosts run.
	Subqueries Cause = "subqueries"
	// Store is for calls to the platform's object store.
	Store Cause = "store"
)

var causes = [...]Cause{Replicas, Members, Relay, Subqueries, Store}

// Bytes is the number of bytes sent and received, without TCP and IP headers.
type Bytes struct{ Sent, Received int64 }

// Meter counts the bytes of connections. The zero value is ready to use.
type Meter struct {
	counts [2][len(causes)]count
}

// count holds the totals of one cause on one side of the zone's border.
type count struct{ sent, received, opened atomic.Int64 }

// Conn returns a connection that counts the bytes of c. crossZone reports whether the remote end is in another
// availability zone.
func (m *Meter) Conn(c net.Conn, cause Cause, crossZone bool) net.Conn {
	n := m.count(cause, crossZone)
	n.opened.Add(1)
	return &conn{Conn: c, count: n}
}

// Read returns the bytes of a cause, within the host's availability zone or, with crossZone, to and from other zones.
func (m *Meter) Read(cause Cause, crossZone bool) Bytes {
	n := m.count(cause, crossZone)
	return Bytes{Sent: n.sent.Load(), Received: n.received.Load()}
}

func (m *Meter) count(cause Cause, crossZone bool) *count {
	side := 0
	if crossZone {
		side = 1
	}
	for i, c := range causes {
		if c == cause {
			return &m.counts[side][i]
		}
	}
	panic("traffic: unknown cause " + string(cause))
}

// Collectors returns the metrics of all causes, for both sides of the zone's border.
func (m *Meter) Collectors() []prometheus.Collector {
	var list []prometheus.Collector
	for _, cause := range causes {
		for _, crossZone := range []bool{false, true} {
			n := m.count(cause, crossZone)
			labels := prometheus.Labels{"cause": string(cause), "to": zoneLabel(crossZone)}
			list = append(list,
				counter("guavaspring_traffic_sent_bytes_total", "Bytes sent, without TCP and IP headers, by cause and by whether they leave the availability zone.", labels, &n.sent),
				counter("guavaspring_traffic_received_bytes_total", "Bytes received, without TCP and IP headers, by cause and by whether they come from another availability zone.", labels, &n.received),
				counter("guavaspring_traffic_connections_total", "Connections opened, by cause and by whether they leave the availability zone.", labels, &n.opened))
		}
	}
	return list
}

// zoneLabel returns the label value for traffic within the own zone or to and from other zones.
func zoneLabel(crossZone bool) string {
	if crossZone {
		return "other_zone"
	}
	return "own_zone"
}

func counter(name, help string, labels prometheus.Labels, n *atomic.Int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(n.Load()) })
}

// Fields returns the bytes of both directions, by cause and side of the zone's border, as key-value pairs for a log
// line.
func (m *Meter) Fields() []any {
	var kv []any
	for _, cause := range causes {
		for _, crossZone := range []bool{false, true} {
			b := m.Read(cause, crossZone)
			kv = append(kv, string(cause)+"_"+zoneLabel(crossZone), b.Sent+b.Received)
		}
	}
	return kv
}

// conn is a connection that counts its bytes.
type conn struct {
	net.Conn
	count *count
}

// Read counts the bytes received.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.received.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.sent.Add(int64(n))
	return n, err
}
