package service_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/event"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/service"
)

const costShards = 69

// startReplicas starts one server per shard, each of which answers every query at once with two hits.
func startReplicas(b *testing.B) []platform.Replica {
	var servers []*httptest.Server
	var list []platform.Replica
	for i := range costShards {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(upstream.HeaderVersions, fmt.Sprintf("1=%d/%d", i, costShards))
			w.Header().Set(upstream.HeaderLoad, "1/5")
			reply := upstream.QueryReply{RequestID: r.Header.Get(upstream.HeaderRequest), Version: 1, Shard: i}
			for k := range 2 {
				reply.Hits = append(reply.Hits, upstream.Hit{ID: strconv.Itoa(k), Score: float64(i)})
			}
			_ = json.NewEncoder(w).Encode(reply)
		}))
		servers = append(servers, srv)
		addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
		list = append(list, platform.Replica{ID: fmt.Sprintf("r%d", i), Addr: addr, State: platform.StateLive})
	}
	b.Cleanup(func() {
		for _, srv := range servers {
			srv.Close()
		}
	})
	return list
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkQueryOverHTTP and BenchmarkBareOverHTTP send the same 69 requests through the same client; only the first
// includes planning, logs and metrics. Both figures of CPU time include the replicas.
func BenchmarkQueryOverHTTP(b *testing.B) {
	list := startReplicas(b)
	doc := document.Default()
	doc.Service = "member-search"
	s, err := service.New(accepted.Generation{Service: doc.Service, Number: 1, Document: doc}, service.Options{
		Clock: clock.System{}, Log: event.NewLogger(io.Discard), Explain: explain.New(64), NewID: func() string { return strconv.FormatInt(time.Now().UnixNano(), 36) },
		Health: reportHoldings(list),
	})
	if err != nil {
		b.Fatal(err)
	}
	s.Update(b.Context(), list)
	one := func() {
		now := time.Now()
		deadline := now.Add(2 * time.Second)
		ctx, cancel := context.WithDeadline(b.Context(), deadline)
		ans := s.Query(ctx, service.QueryRequest{ID: "q", Caller: "c", Arrived: now, Deadline: deadline, Query: caller.Query{Query: "navy", Limit: 20}})
		cancel()
		if ans.Coverage.Answered != costShards {
			b.Fatalf("%+v", ans.Coverage)
		}
	}
	measure(b, one)
}

func BenchmarkBareOverHTTP(b *testing.B) {
	list := startReplicas(b)
	client, err := upstream.New(upstream.Options{MaxConns: 5})
	if err != nil {
		b.Fatal(err)
	}
	body := []byte(`{"query":"navy","limit":20}`)
	measure(b, func() {
		ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for i := range costShards {
			wg.Go(func() {
				if res := client.Query(ctx, list[i].Addr, upstream.QueryAttempt{ID: "q", Version: 1, Shard: i, Body: body}); res.Kind != upstream.KindOK {
					b.Errorf("%v", res)
				}
			})
		}
		wg.Wait()
	})
}

func measure(b *testing.B, one func()) {
	for range 20 {
		one()
	}
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		one()
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N)/1000, "cpu-us/op")
}

func reportHoldings(list []platform.Replica) func(context.Context, *replica.Replica) (upstream.Health, upstream.Result) {
	shard := map[netip.AddrPort]int{}
	for i, row := range list {
		shard[row.Addr] = i
	}
	return func(_ context.Context, r *replica.Replica) (upstream.Health, upstream.Result) {
		return upstream.Health{Holdings: []upstream.Holding{{Version: 1, Shard: shard[r.Addr], Shards: costShards}}}, upstream.Result{Kind: upstream.KindOK}
	}
}
