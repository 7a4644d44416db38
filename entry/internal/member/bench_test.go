package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// largeList returns a list of 5,600 hosts and its rows.
func largeList() (*List, []Host) {
	rows := make([]Host, 5600)
	for i := range rows {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
		rows[i] = Host{
			ID: fmt.Sprintf("ABCDEFGHIJKLMNOPQRST%06d", i), Caller: addr, Peer: addr, Epoch: 1, State: StateAlive,
			Zone: fmt.Sprintf("zone-%02d", i%24), Region: fmt.Sprintf("region-%d", i%8),
		}
	}
	l := New(Options{Self: rows[0], Rand: rand.New(rand.NewPCG(1, 1))})
	l.MergeRepaired(time.Unix(1, 0), rows[1:])
	return l, rows
}

// BenchmarkChange measures one changed row at 5,600 hosts; the fleet has 0.22 changes a second, each received a few
// times.
func BenchmarkChange(b *testing.B) {
	l, rows := largeList()
	b.ReportAllocs()
	for i := range b.N {
		h := rows[1+i%5000]
		h.Epoch = uint64(2 + i/5000)
		l.Merge(time.Unix(1, 0), []Host{h})
	}
}

// BenchmarkTick measures one tick at 5,600 hosts; a host has five a second.
func BenchmarkTick(b *testing.B) {
	l, _ := largeList()
	b.ReportAllocs()
	now := time.Unix(1, 0)
	for range b.N {
		now = now.Add(time.Millisecond)
		l.Tick(now)
	}
}

// BenchmarkMessage measures one message while many rows are queued.
func BenchmarkMessage(b *testing.B) {
	l, rows := largeList()
	b.ReportAllocs()
	for i := range b.N {
		if len(l.queuedRows) < 100 {
			b.StopTimer()
			next := rows[1 : 1+200]
			for j := range next {
				next[j].Epoch = uint64(2 + i)
			}
			l.Merge(time.Unix(1, 0), next)
			b.StartTimer()
		}
		l.Message(rows[1].ID)
	}
}

// BenchmarkMemory reports the heap that a list of 5,600 hosts uses.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l, _ := largeList()
		l.mu.Lock()
		clear(l.queuedRows)
		l.mu.Unlock()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(l)
	}
}
