package peers

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/rumor"
)

// BenchmarkPacketBytes reports the size of a probe on an open connection: without changes, with one membership change,
// and with as many as fit. The first packet of a connection is larger, since gob sends its types with it.
func BenchmarkPacketBytes(b *testing.B) {
	host := member.Host{ID: "ABCDEFGHIJKLMNOPQRST000001", Caller: addrOf(1), Peer: addrOf(2), Zone: "webberton-room", Region: "perth", Epoch: 3, State: member.StateAlive}
	quiet := Packet{Member: member.Message{From: host.ID, Epoch: 1, To: host.ID}, Sums: Sums{Members: 1 << 63, Generations: 1 << 62, Rumors: 1 << 61}}
	one, full := quiet, quiet
	one.Member.Rows = []member.Host{host}
	for range 6 {
		full.Member.Rows = append(full.Member.Rows, host)
		full.Member.Loads = append(full.Member.Loads, member.Load{Key: 1 << 63, Seq: 1000, Percent: 50})
	}
	for i := range 3 {
		full.Rumors = append(full.Rumors, rumor.Rumor{Kind: rumor.KindQuarantine, Service: "remnant-finder", Key: fmt.Sprintf("%032d", i), Number: 1, Expires: time.Unix(1, 0)})
	}
	for _, test := range []struct {
		name string
		pkt  Packet
	}{{"quiet", quiet}, {"one_change", one}, {"full", full}} {
		b.Run(test.name, func(b *testing.B) {
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			first := 0
			for range b.N {
				for i := range 2 {
					buf.Reset()
					if err := enc.Encode(&test.pkt); err != nil {
						b.Fatal(err)
					}
					if i == 0 && first == 0 {
						first = buf.Len()
					}
				}
			}
			b.ReportMetric(float64(buf.Len()), "bytes")
			b.ReportMetric(float64(first), "first_bytes")
		})
	}
}
