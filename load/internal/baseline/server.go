package baseline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gorilla/mux"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
)

const (
	listInterval = time.Second
	callTimeout  = time.Second
	maxBody      = 1 << 20
	defaultLimit = 20
	addressTTL   = 5 * time.Second
)

// Options configures a Server.
type Options struct {
	Listen   netip.AddrPort
	Zone     string
	Platform netip.AddrPort
	// MaxConnections is the maximum number of connections to each replica.
	MaxConnections int
	// Deadline applies to requests without a deadline of their own.
	Deadline time.Duration
}

// Server sends each query to one random holder of each shard; shards without a reply by the deadline are missing. It
// uses the same HTTP server and client as an entry host, so that only the policy differs.
type Server struct {
	opts     Options
	platform *platform.Client
	client   *upstream.Client
	services atomic.Pointer[map[string]shardMap]
}

// shardMap holds an index version and the replicas that hold each of its shards.
type shardMap struct {
	version int64
	holders [][]netip.AddrPort
}

// New returns a server without replicas; Follow fills the list.
func New(opts Options) (*Server, error) {
	plat, err := platform.New(opts.Platform)
	if err != nil {
		return nil, err
	}
	client, err := upstream.New(upstream.Options{MaxConns: opts.MaxConnections})
	if err != nil {
		return nil, err
	}
	s := &Server{opts: opts, platform: plat, client: client}
	s.services.Store(&map[string]shardMap{})
	return s, nil
}

// HTTP returns the kratos server that serves the API for callers.
func (s *Server) HTTP() *khttp.Server {
	srv := khttp.NewServer(khttp.Address(s.opts.Listen.String()), khttp.Timeout(0))
	srv.HandleFunc("/v1/addresses", s.addresses)
	srv.HandleFunc("/v1/services/{service}/query", s.query)
	srv.HandleFunc("/readyz", s.ready)
	return srv
}

// Follow polls the replica list and the holdings of each replica until ctx ends.
func (s *Server) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		list, err := s.platform.Replicas(callCtx)
		cancel()
		if err == nil {
			s.updateServices(ctx, list)
		}
		select {
		case <-time.After(listInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Server) updateServices(ctx context.Context, list []platform.Replica) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	held := map[string]map[int64][][]netip.AddrPort{}
	for _, row := range list {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			health, res := s.client.Health(ctx, row.Addr)
			if res.Kind != upstream.KindOK || row.State == platform.StateLeaving {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if held[row.Service] == nil {
				held[row.Service] = map[int64][][]netip.AddrPort{}
			}
			for _, h := range health.Holdings {
				addHolder(held[row.Service], h, row.Addr)
			}
		})
	}
	wg.Wait()
	next := map[string]shardMap{}
	for service, versions := range held {
		next[service] = newest(versions)
	}
	s.services.Store(&next)
}

func addHolder(versions map[int64][][]netip.AddrPort, h upstream.Holding, addr netip.AddrPort) {
	if versions[h.Version] == nil {
		versions[h.Version] = make([][]netip.AddrPort, h.Shards)
	}
	if holders := versions[h.Version]; len(holders) == h.Shards {
		holders[h.Shard] = append(holders[h.Shard], addr)
	}
}

// newest returns the newest version with a holder for every shard, or the newest of all where there is none.
func newest(versions map[int64][][]netip.AddrPort) shardMap {
	var best shardMap
	bestWhole := false
	for v, holders := range versions {
		whole := !slices.ContainsFunc(holders, func(h []netip.AddrPort) bool { return len(h) == 0 })
		if best.holders == nil || (whole && !bestWhole) || (whole == bestWhole && v > best.version) {
			best, bestWhole = shardMap{version: v, holders: holders}, whole
		}
	}
	return best
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if len(*s.services.Load()) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, caller.Addresses{
		Service: r.URL.Query().Get("service"), Generation: 1, KeepMS: addressTTL.Milliseconds(),
		Addresses: []caller.Address{{Address: s.opts.Listen, Zone: s.opts.Zone, Weight: 1}},
	})
}

func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	service := mux.Vars(r)["service"]
	var q caller.Query
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(b, &q)
	}
	m, ok := (*s.services.Load())[service]
	if err != nil || !ok {
		writeJSON(w, http.StatusBadRequest, caller.Problem{Code: "bad_request", Reason: fmt.Sprintf("service %q: %v", service, err)})
		return
	}
	if q.Limit == 0 {
		q.Limit = defaultLimit
	}
	wait := s.opts.Deadline
	if ms, err := strconv.ParseInt(r.Header.Get(caller.HeaderDeadline), 10, 64); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	ans := s.fanout(ctx, r.Header.Get(caller.HeaderRequest), m, q)
	ans.Service = service
	status := http.StatusOK
	if ans.Outcome == caller.OutcomeFailed {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, ans)
}

// fanout sends one attempt for each shard and merges the replies that arrive by the deadline.
func (s *Server) fanout(ctx context.Context, id string, m shardMap, q caller.Query) caller.Answer {
	body := upstream.Query{Query: q.Query, Limit: q.Limit}.Encode()
	ans := caller.Answer{RequestID: id, Snapshot: caller.Snapshot{Version: m.version, Shards: len(m.holders)}, Hits: []caller.Hit{}}
	results := make([]upstream.Result, len(m.holders))
	var wg sync.WaitGroup
	for i, holders := range m.holders {
		if len(holders) == 0 {
			continue
		}
		wg.Go(func() {
			try := upstream.QueryAttempt{ID: id + "-" + strconv.Itoa(i), Version: m.version, Shard: i, Body: body}
			results[i] = s.client.Query(ctx, holders[rand.IntN(len(holders))], try)
		})
	}
	wg.Wait()
	for i, res := range results {
		if res.Kind != upstream.KindOK {
			ans.Coverage.Missing = append(ans.Coverage.Missing, i)
			continue
		}
		for _, h := range res.Query.Hits {
			ans.Hits = append(ans.Hits, caller.Hit{ID: h.ID, Score: h.Score, Shard: i, Data: h.Data})
		}
	}
	return finish(ans, q.Limit)
}

func finish(ans caller.Answer, limit int) caller.Answer {
	ans.Hits = caller.Best(ans.Hits, limit)
	cov := &ans.Coverage
	cov.Shards = ans.Snapshot.Shards
	cov.Answered = cov.Shards - len(cov.Missing)
	cov.Share = float64(cov.Answered) / float64(max(1, cov.Shards))
	ans.Outcome = cov.Outcome()
	return ans
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
