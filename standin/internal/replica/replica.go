package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"guavaspring.org/core/upstream"
)

// Options configures a Replica.
type Options struct {
	ID          string
	Slots       int
	Connections int
	ConnectCost time.Duration
	ServiceTime time.Duration
	Holdings    []upstream.Holding
}

// Replica is one upstream replica.
type Replica struct {
	opts  Options
	slots chan struct{}

	mu       sync.Mutex
	holdings []upstream.Holding
	ran      map[string]int
	queries  int
	draining bool
	slow     float64
}

// New returns a replica with no faults.
func New(opts Options) *Replica {
	return &Replica{opts: opts, slots: make(chan struct{}, opts.Slots), holdings: opts.Holdings, ran: map[string]int{}, slow: 1}
}

// Listen returns a listener at addr that enforces the replica's connection limit and the cost of a connection.
func (rep *Replica) Listen(addr netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", rep.opts.ID, err)
	}
	return &limitListener{Listener: l, left: make(chan struct{}, rep.opts.Connections), cost: rep.opts.ConnectCost}, nil
}

// HTTP returns the kratos server of the replica on l.
func (rep *Replica) HTTP(l net.Listener) *khttp.Server {
	srv := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0))
	srv.HandleFunc("/v1/query", rep.query)
	srv.HandleFunc("/v1/write", rep.write)
	srv.HandleFunc("/v1/health", rep.health)
	srv.HandleFunc("/control/truth", rep.truth)
	srv.HandleFunc("/control/faults", rep.faults)
	return srv
}

func (rep *Replica) query(w http.ResponseWriter, r *http.Request) {
	var q upstream.Query
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		rep.fail(w, r, http.StatusBadRequest, upstream.CodeBadRequest, err.Error(), true)
		return
	}
	version, _ := strconv.ParseInt(r.Header.Get(upstream.HeaderVersion), 10, 64)
	shard, _ := strconv.Atoi(r.Header.Get(upstream.HeaderShard))
	if !rep.holds(version, shard) {
		rep.fail(w, r, http.StatusConflict, upstream.CodeVersionGone, fmt.Sprintf("version %d shard %d is not held", version, shard), true)
		return
	}
	if !rep.work(w, r) {
		return
	}
	rep.mu.Lock()
	rep.queries++
	rep.mu.Unlock()
	reply := upstream.QueryReply{RequestID: r.Header.Get(upstream.HeaderRequest), Version: version, Shard: shard}
	for i := range min(q.Limit, 3) {
		reply.Hits = append(reply.Hits, upstream.Hit{ID: fmt.Sprintf("v%d-s%d-%d", version, shard, i), Score: 1 / float64(i+shard+1)})
	}
	rep.ok(w, reply)
}

func (rep *Replica) write(w http.ResponseWriter, r *http.Request) {
	var body upstream.Write
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rep.fail(w, r, http.StatusBadRequest, upstream.CodeBadRequest, err.Error(), true)
		return
	}
	if !rep.work(w, r) {
		return
	}
	rep.mu.Lock()
	rep.ran[body.OpID]++
	rep.mu.Unlock()
	rep.ok(w, upstream.WriteReply{RequestID: r.Header.Get(upstream.HeaderRequest)})
}

// work takes a slot for the service time, or refuses.
func (rep *Replica) work(w http.ResponseWriter, r *http.Request) bool {
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(upstream.HeaderDeadline), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case rep.slots <- struct{}{}:
		defer func() { <-rep.slots }()
	default:
		rep.fail(w, r, http.StatusServiceUnavailable, upstream.CodeShed, "every slot is taken", true)
		return false
	}
	rep.mu.Lock()
	d := time.Duration(float64(rep.opts.ServiceTime) * rep.slow)
	rep.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		rep.fail(w, r, http.StatusGatewayTimeout, upstream.CodeDeadline, "the deadline passed", false)
		return false
	}
}

func (rep *Replica) holds(version int64, shard int) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for _, h := range rep.holdings {
		if h.Version == version && h.Shard == shard {
			return true
		}
	}
	return false
}

func (rep *Replica) health(w http.ResponseWriter, _ *http.Request) {
	rep.mu.Lock()
	h := upstream.Health{Draining: rep.draining, Running: len(rep.slots), Slots: rep.opts.Slots, Holdings: rep.holdings}
	rep.mu.Unlock()
	rep.ok(w, h)
}

func (rep *Replica) truth(w http.ResponseWriter, _ *http.Request) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.encode(w, struct {
		Queries int            `json:"queries"`
		Ran     map[string]int `json:"ran"`
	}{rep.queries, rep.ran})
}

func (rep *Replica) faults(w http.ResponseWriter, r *http.Request) {
	f := struct {
		Slow     float64 `json:"slow"`
		Draining bool    `json:"draining"`
	}{Slow: 1}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		rep.fail(w, r, http.StatusBadRequest, upstream.CodeBadRequest, err.Error(), true)
		return
	}
	rep.mu.Lock()
	rep.slow, rep.draining = f.Slow, f.Draining
	rep.mu.Unlock()
	rep.encode(w, f)
}

func (rep *Replica) headers(w http.ResponseWriter) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(upstream.HeaderVersions, upstream.FormatHoldings(rep.holdings))
	h.Set(upstream.HeaderLoad, fmt.Sprintf("%d/%d", len(rep.slots), rep.opts.Slots))
	if rep.draining {
		h.Set(upstream.HeaderDraining, "1")
	}
}

func (rep *Replica) ok(w http.ResponseWriter, v any) {
	rep.headers(w)
	rep.encode(w, v)
}

func (rep *Replica) encode(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func (rep *Replica) fail(w http.ResponseWriter, r *http.Request, status int, code upstream.Code, reason string, notRun bool) {
	rep.headers(w)
	if notRun {
		w.Header().Set(upstream.HeaderNotRun, "true")
	}
	w.WriteHeader(status)
	rep.encode(w, upstream.Problem{Code: code, Reason: reason, RequestID: r.Header.Get(upstream.HeaderRequest)})
}
