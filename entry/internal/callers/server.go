package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/service"
	"guavaspring.org/entry/internal/writes"
)

// The limits of a connection: headers hold a name, two ids, a deadline and a ticket; a body of maxBody comes within
// bodyTimeout over a slow line.
const (
	maxHeaders    = 16 << 10
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Options configures a Server.
type Options struct {
	Clock   clock.Clock
	Log     logr.Logger
	Listen  netip.AddrPort
	NewID   func() string
	Explain *explain.Store
	Metrics *prometheus.Registry
	// Answered is told of each query and write that was answered; it may be nil.
	Answered func(service, kind, outcome string, took time.Duration)
	// Service returns a service by name, or nil.
	Service func(name string) *service.Service
	// Ready reports whether the host can serve, and why not.
	Ready func() error
	// Addresses answers which hosts a caller should use.
	Addresses func(req AddressRequest) (caller.Addresses, error)
	// Refresh reports whether callers of a service should ask for addresses again; nil means never.
	Refresh func(service string) bool
	// Filter stands before every request; it may be nil.
	Filter func(next http.Handler) http.Handler
	// Write runs a write.
	Write func(ctx context.Context, req writes.Request) caller.WriteAnswer
}

// AddressRequest is one address request as it arrived at the host.
type AddressRequest struct {
	Service string
	Caller  string
	// Zone is the availability zone that the caller names as its own; it may be empty.
	Zone string
	// Tickets is how many write tickets are wanted for each address, 0 to 100.
	Tickets int
}

// New returns the kratos HTTP server of a host; it listens once it is started.
func New(opts Options) *khttp.Server {
	if opts.Refresh == nil {
		opts.Refresh = func(string) bool { return false }
	}
	if opts.Answered == nil {
		opts.Answered = func(string, string, string, time.Duration) {}
	}
	if opts.Filter == nil {
		opts.Filter = func(next http.Handler) http.Handler { return next }
	}
	h := &handler{opts: opts}
	srv := khttp.NewServer(khttp.Address(opts.Listen.String()), khttp.Timeout(0), khttp.Filter(opts.Filter),
		khttp.NotFoundHandler(http.HandlerFunc(notFound)), khttp.MethodNotAllowedHandler(http.HandlerFunc(wrongMethod)))
	srv.ReadHeaderTimeout, srv.IdleTimeout, srv.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaders
	r := srv.Route("/")
	r.GET("/v1/addresses", h.adapt(h.addresses))
	r.POST("/v1/services/{service}/query", h.adapt(h.query))
	r.POST("/v1/services/{service}/write", h.adapt(h.write))
	r.GET("/v1/explanations/{id}", h.adapt(h.explanation))
	r.GET("/healthz", h.adapt(h.health))
	r.GET("/readyz", h.adapt(h.ready))
	srv.Handle("/metrics", promhttp.HandlerFor(opts.Metrics, promhttp.HandlerOpts{}))
	return srv
}

type handler struct{ opts Options }

func (h *handler) adapt(f func(w http.ResponseWriter, r *http.Request)) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		w, r := ctx.Response(), ctx.Request()
		defer h.recover(w, r)
		f(w, r)
		return nil
	}
}

// recover answers a request whose handler met a broken invariant.
//
// Left to net/http, the connection would end without a word: the caller could not tell it from a host that
// died, and requests of others on the same connection would be lost with it.
func (h *handler) recover(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	events.Panicked.Log(h.opts.Log, "path", r.URL.Path, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	problem(w, http.StatusInternalServerError, "internal", "the host met an error of its own; whether the request ran is not known")
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	call, ok := h.begin(w, r)
	if !ok {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	q, err := DecodeQuery(body)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	ans := call.service.Query(ctx, service.QueryRequest{ID: call.id, Caller: call.caller, Arrived: call.arrived, Deadline: call.deadline, Query: q})
	ans.RefreshAddresses = refresh(w)
	h.opts.Answered(ans.Service, "query", string(ans.Outcome), h.opts.Clock.Now().Sub(call.arrived))
	retryAfter(w, ans.RetryAfterMS)
	reply(w, queryStatus(ans.Outcome), ans)
}

func (h *handler) write(w http.ResponseWriter, r *http.Request) {
	call, ok := h.begin(w, r)
	if !ok {
		return
	}
	ticket, err := header(r, caller.HeaderTicket, maxTicket)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_ticket", err.Error())
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	op, err := DecodeWrite(body)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	ans := h.opts.Write(ctx, writes.Request{
		ID: call.id, Service: mux.Vars(r)["service"], Caller: call.caller, Ticket: ticket,
		Arrived: call.arrived, Deadline: call.deadline, Write: op,
	})
	ans.RefreshAddresses = refresh(w)
	h.opts.Answered(mux.Vars(r)["service"], "write", string(ans.Outcome), h.opts.Clock.Now().Sub(call.arrived))
	retryAfter(w, ans.RetryAfterMS)
	reply(w, http.StatusOK, ans)
}

// call is what a query and a write have in common.
type call struct {
	service           *service.Service
	id, caller        string
	arrived, deadline time.Time
}

// begin reads everything but the body, and has answered the request where it reports false.
func (h *handler) begin(w http.ResponseWriter, r *http.Request) (call, bool) {
	c := call{arrived: h.opts.Clock.Now()}
	name := mux.Vars(r)["service"]
	if c.service = h.opts.Service(name); c.service == nil {
		problem(w, http.StatusNotFound, "unknown_service", fmt.Sprintf("no service %q is configured here", name))
		return c, false
	}
	if h.opts.Refresh(name) {
		w.Header().Set(caller.HeaderUseAddresses, caller.UseRefresh)
	}
	doc := c.service.Generation().Document
	var err error
	if c.deadline, err = deadlineOf(r, c.arrived, doc.Deadline.Default.Std(), doc.Deadline.Max.Std()); err != nil {
		problem(w, http.StatusBadRequest, "bad_deadline", err.Error())
		return c, false
	}
	if c.id, err = h.requestID(r); err != nil {
		problem(w, http.StatusBadRequest, "bad_request_id", err.Error())
		return c, false
	}
	if c.caller, err = callerOf(r); err != nil {
		problem(w, http.StatusBadRequest, "bad_caller", err.Error())
		return c, false
	}
	return c, true
}

func (h *handler) addresses(w http.ResponseWriter, r *http.Request) {
	req, err := addressRequest(r)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ans, err := h.opts.Addresses(req)
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

// refresh repeats in the body what the header says, for callers that see only the body.
func refresh(w http.ResponseWriter) bool { return w.Header().Get(caller.HeaderUseAddresses) != "" }

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
