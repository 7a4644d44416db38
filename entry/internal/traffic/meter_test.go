package traffic_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"guavaspring.org/entry/internal/traffic"
)

// Guards against bytes that are counted twice, not at all, under the wrong cause or on the wrong side of the zone's
// border: traffic between zones is billed, and the metrics are to show its causes.
func TestBytesAreCountedByCause(t *testing.T) {
	var m traffic.Meter
	near, far := net.Pipe()
	c := m.Conn(near, traffic.Relay, true)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 5))
		_, _ = far.Write([]byte("seven b"))
		_ = far.Close()
	}()
	_, err := c.Write([]byte("hello"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.Read(traffic.Relay, true), qt.Equals, traffic.Bytes{Sent: 5, Received: 7})
	qt.Assert(t, m.Read(traffic.Relay, false), qt.Equals, traffic.Bytes{})
	qt.Assert(t, m.Read(traffic.Members, true), qt.Equals, traffic.Bytes{})

	r := prometheus.NewRegistry()
	for _, c := range m.Collectors() {
		qt.Assert(t, r.Register(c), qt.IsNil)
	}
	n, err := testutil.GatherAndCount(r, "guavaspring_traffic_sent_bytes_total")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 10)
}
