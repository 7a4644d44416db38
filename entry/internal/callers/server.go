package callers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/service"
)

const (
	maxBody       = 1 << 20
	maxIDLen      = 128
	defaultLimit  = 20
	maxLimit      = 1000
	unknownCaller = "unnamed"
)

// Options configures a Server.
type Options struct {
	Clock   clock.Clock
	Listen  netip.AddrPort
	NewID   func() string
	Explain *explain.Store
	Metrics *prometheus.Registry
	// Service returns a service by name, or nil.
	Service func(name string) *service.Service
	// Ready reports whether the host can serve, and why not.
	Ready func() error
	// Addresses answers which hosts a caller should use.
	Addresses func(service string, tickets int) (caller.Addresses, error)
	// Write runs a write.
	Write func(ctx context.Context, req WriteRequest) caller.WriteAnswer
}

// WriteRequest is one write as it arrived at the host.
type WriteRequest struct {
	ID       string
	Service  string
	Caller   string
	Ticket   string
	Arrived  time.Time
	Deadline time.Time
	Write    caller.Write
}

// New returns the kratos HTTP server of a host; it listens once it is started.
func New(opts Options) *khttp.Server {
	h := &handler{opts: opts}
	srv := khttp.NewServer(khttp.Address(opts.Listen.String()), khttp.Timeout(0),
		khttp.NotFoundHandler(http.HandlerFunc(notFound)), khttp.MethodNotAllowedHandler(http.HandlerFunc(wrongMethod)))
	srv.ReadHeaderTimeout = 5 * time.Second
	srv.IdleTimeout = 2 * time.Minute
	r := srv.Route("/")
	r.GET("/v1/addresses", adapt(h.addresses))
	r.POST("/v1/services/{service}/query", adapt(h.query))
	r.POST("/v1/services/{service}/write", adapt(h.write))
	r.GET("/v1/explanations/{id}", adapt(h.explanation))
	r.GET("/healthz", adapt(h.health))
	r.GET("/readyz", adapt(h.ready))
	srv.Handle("/metrics", promhttp.HandlerFor(opts.Metrics, promhttp.HandlerOpts{}))
	return srv
}

type handler struct{ opts Options }

func adapt(f func(w http.ResponseWriter, r *http.Request)) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		f(ctx.Response(), ctx.Request())
		return nil
	}
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	arrived := h.opts.Clock.Now()
	svc := h.opts.Service(mux.Vars(r)["service"])
	if svc == nil {
		problem(w, http.StatusNotFound, "unknown_service", fmt.Sprintf("no service %q is configured here", mux.Vars(r)["service"]))
		return
	}
	var q caller.Query
	if !h.decode(w, r, &q) {
		return
	}
	if err := checkQuery(&q); err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	doc := svc.Generation().Document
	deadline, err := deadlineOf(r, arrived, doc.Deadline.Default.Std(), doc.Deadline.Max.Std())
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_deadline", err.Error())
		return
	}
	id, err := h.requestID(r)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request_id", err.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	ans := svc.Query(ctx, service.QueryRequest{ID: id, Caller: callerOf(r), Arrived: arrived, Deadline: deadline, Query: q})
	retryAfter(w, ans.RetryAfterMS)
	reply(w, queryStatus(ans.Outcome), ans)
}

func (h *handler) write(w http.ResponseWriter, r *http.Request) {
	arrived := h.opts.Clock.Now()
	name := mux.Vars(r)["service"]
	svc := h.opts.Service(name)
	if svc == nil {
		problem(w, http.StatusNotFound, "unknown_service", fmt.Sprintf("no service %q is configured here", name))
		return
	}
	var body caller.Write
	if !h.decode(w, r, &body) {
		return
	}
	doc := svc.Generation().Document
	deadline, err := deadlineOf(r, arrived, doc.Deadline.Default.Std(), doc.Deadline.Max.Std())
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_deadline", err.Error())
		return
	}
	id, err := h.requestID(r)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request_id", err.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	ans := h.opts.Write(ctx, WriteRequest{
		ID: id, Service: name, Caller: callerOf(r), Ticket: r.Header.Get(caller.HeaderTicket),
		Arrived: arrived, Deadline: deadline, Write: body,
	})
	retryAfter(w, ans.RetryAfterMS)
	reply(w, http.StatusOK, ans)
}

func (h *handler) addresses(w http.ResponseWriter, r *http.Request) {
	n := 0
	if s := r.URL.Query().Get("tickets"); s != "" {
		v, err := strconv.Atoi(s)
		if err != nil || v < 0 || v > 100 {
			problem(w, http.StatusBadRequest, "bad_request", fmt.Sprintf("tickets: %q is not a number from 0 to 100", s))
			return
		}
		n = v
	}
	ans, err := h.opts.Addresses(r.URL.Query().Get("service"), n)
	if err != nil {
		problem(w, http.StatusNotFound, "unknown_service", err.Error())
		return
	}
	reply(w, http.StatusOK, ans)
}

func (h *handler) explanation(w http.ResponseWriter, r *http.Request) {
	rec, ok := h.opts.Explain.Get(mux.Vars(r)["id"])
	if !ok {
		problem(w, http.StatusNotFound, "unknown_explanation", "this host keeps no explanation with that id; it keeps only its latest")
		return
	}
	reply(w, http.StatusOK, rec)
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"live"})
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.opts.Ready(); err != nil {
		problem(w, http.StatusServiceUnavailable, "not_ready", err.Error())
		return
	}
	reply(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ready"})
}

func (h *handler) decode(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		problem(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("the body is over %d bytes", maxBody))
		return false
	case err != nil:
		problem(w, http.StatusBadRequest, "bad_request", "the body can't be read: "+err.Error())
		return false
	}
	if err := json.Unmarshal(b, v); err != nil {
		problem(w, http.StatusBadRequest, "bad_request", "the body is not the JSON wanted: "+err.Error())
		return false
	}
	return true
}

func (h *handler) requestID(r *http.Request) (string, error) {
	id := r.Header.Get(caller.HeaderRequest)
	if id == "" {
		return h.opts.NewID(), nil
	}
	if len(id) > maxIDLen {
		return "", fmt.Errorf("%s: %d bytes long; want at most %d", caller.HeaderRequest, len(id), maxIDLen)
	}
	return id, nil
}

func callerOf(r *http.Request) string {
	name := r.Header.Get(caller.HeaderCaller)
	if name == "" {
		return unknownCaller
	}
	return name[:min(len(name), maxIDLen)]
}

func checkQuery(q *caller.Query) error {
	if q.Limit == 0 {
		q.Limit = defaultLimit
	}
	if q.Limit < 0 || q.Limit > maxLimit {
		return fmt.Errorf("limit: %d is out of range; want 1 to %d", q.Limit, maxLimit)
	}
	return nil
}

func deadlineOf(r *http.Request, arrived time.Time, def, longest time.Duration) (time.Time, error) {
	s := r.Header.Get(caller.HeaderDeadline)
	if s == "" {
		return arrived.Add(def), nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return time.Time{}, fmt.Errorf("%s: %q is not a number of milliseconds above 0", caller.HeaderDeadline, s)
	}
	return arrived.Add(min(time.Duration(ms)*time.Millisecond, longest)), nil
}

func queryStatus(o caller.Outcome) int {
	switch o {
	case caller.OutcomeRefused:
		return http.StatusTooManyRequests
	case caller.OutcomeFailed:
		return http.StatusServiceUnavailable
	default:
		return http.StatusOK
	}
}

func retryAfter(w http.ResponseWriter, ms int64) {
	if ms > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("callers: a reply can't be encoded: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; nothing is left to tell it.
	_, _ = w.Write(b)
}

func problem(w http.ResponseWriter, status int, code, reason string) {
	reply(w, status, caller.Problem{Code: code, Reason: reason})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	problem(w, http.StatusNotFound, "unknown_path", fmt.Sprintf("there is nothing at %s", r.URL.Path))
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	problem(w, http.StatusMethodNotAllowed, "wrong_method", fmt.Sprintf("%s can't be used at %s", r.Method, r.URL.Path))
}
