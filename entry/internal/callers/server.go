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
	"guavaspring.org/entry/internal/panics"
	"guavaspring.org/entry/internal/service"
	"guavaspring.org/entry/internal/writes"
)

// HeaderTimeout limits the time to receive a header.
const HeaderTimeout = 5 * time.Second

// Limits of a connection. The headers have to fit a name, two IDs, a deadline and a ticket; bodyTimeout is enough for a
// body of maxBodyBytes over a slow link.
const (
	maxHeaderBytes = 16 << 10
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Options configures the server that New returns.
type Options struct {
	Clock   clock.Clock
	Log     logr.Logger
	Listen  netip.AddrPort
	NewID   func() string
	Explain *explain.Store
	Metrics *prometheus.Registry
	// Answered is called after each query and write with its outcome and duration; it may be nil.
	Answered func(service, kind, outcome string, took time.Duration)
	// Service returns a service by name, or nil where it is not configured.
	Service func(name string) *service.Service
	// Ready returns nil if the host can serve, otherwise the reason.
	Ready func() error
	// Addresses returns the hosts that a caller should use.
	Addresses func(req AddressRequest) (caller.Addresses, error)
	// Refresh reports whether callers of a service should request addresses again; nil means never.
	Refresh func(service string) bool
	// Filter is middleware around all handlers; it may be nil.
	Filter func(next http.Handler) http.Handler
	// Write runs a write.
	Write func(ctx context.Context, req writes.Request) caller.WriteAnswer
}

// AddressRequest holds the parameters of a request for addresses.
type AddressRequest struct {
	Service string
	Caller  string
	// Zone is the availability zone of the caller as stated by it; it may be empty.
	Zone string
	// Tickets is the number of write tickets requested for each address, 0 to 100.
	Tickets int
}

// New returns the kratos HTTP server for callers and operators; it listens once it is started.
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
	srv.ReadHeaderTimeout, srv.IdleTimeout, srv.MaxHeaderBytes = HeaderTimeout, idleTimeout, maxHeaderBytes
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

// adapt turns an HTTP handler function into a kratos one that recovers from panics.
func (h *handler) adapt(f func(w http.ResponseWriter, r *http.Request)) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		w, r := ctx.Response(), ctx.Request()
		defer h.recoverPanic(w, r)
		f(w, r)
		return nil
	}
}

// recoverPanic logs a panic of a handler and responds with status 500.
//
// net/http would only close the connection. The caller couldn't distinguish that from a crash of the host, and other
// requests on the same connection would be lost.
func (h *handler) recoverPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	events.Panicked.Log(h.opts.Log, "path", r.URL.Path, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	writeProblem(w, http.StatusInternalServerError, "internal", panics.Message)
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	call, ok := h.parseRequest(w, r)
	if !ok {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	q, err := DecodeQuery(body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	ans := call.service.Query(ctx, service.QueryRequest{ID: call.id, Caller: call.caller, Arrived: call.arrived, Deadline: call.deadline, Query: q})
	ans.RefreshAddresses = refreshRequested(w)
	h.opts.Answered(ans.Service, "query", string(ans.Outcome), h.opts.Clock.Now().Sub(call.arrived))
	setRetryAfter(w, ans.RetryAfterMS)
	writeJSON(w, queryStatus(ans.Outcome), ans)
}

func (h *handler) write(w http.ResponseWriter, r *http.Request) {
	call, ok := h.parseRequest(w, r)
	if !ok {
		return
	}
	ticket, err := printableHeader(r, caller.HeaderTicket, maxTicketBytes)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_ticket", err.Error())
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	op, err := DecodeWrite(body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	ans := h.opts.Write(ctx, writes.Request{
		ID: call.id, Service: mux.Vars(r)["service"], Caller: call.caller, Ticket: ticket,
		Arrived: call.arrived, Deadline: call.deadline, Write: op,
	})
	ans.RefreshAddresses = refreshRequested(w)
	h.opts.Answered(mux.Vars(r)["service"], "write", string(ans.Outcome), h.opts.Clock.Now().Sub(call.arrived))
	setRetryAfter(w, ans.RetryAfterMS)
	writeJSON(w, http.StatusOK, ans)
}

// requestParams holds the parameters that queries and writes share.
type requestParams struct {
	service           *service.Service
	id, caller        string
	arrived, deadline time.Time
}

// parseRequest parses everything but the body. It writes an error response itself and then returns false.
func (h *handler) parseRequest(w http.ResponseWriter, r *http.Request) (requestParams, bool) {
	c := requestParams{arrived: h.opts.Clock.Now()}
	name := mux.Vars(r)["service"]
	if c.service = h.opts.Service(name); c.service == nil {
		writeProblem(w, http.StatusNotFound, "unknown_service", fmt.Sprintf("no service %q is configured here", name))
		return c, false
	}
	if h.opts.Refresh(name) {
		w.Header().Set(caller.HeaderUseAddresses, caller.UseRefresh)
	}
	doc := c.service.Generation().Document
	var err error
	if c.deadline, err = parseDeadline(r, c.arrived, doc.Deadline.Default.Std(), doc.Deadline.Max.Std()); err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_deadline", err.Error())
		return c, false
	}
	if c.id, err = h.requestID(r); err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request_id", err.Error())
		return c, false
	}
	if c.caller, err = callerName(r); err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_caller", err.Error())
		return c, false
	}
	return c, true
}

func (h *handler) addresses(w http.ResponseWriter, r *http.Request) {
	req, err := parseAddressRequest(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ans, err := h.opts.Addresses(req)
	if err != nil {
		writeProblem(w, http.StatusNotFound, "unknown_service", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, ans)
}

func (h *handler) explanation(w http.ResponseWriter, r *http.Request) {
	rec, ok := h.opts.Explain.Get(mux.Vars(r)["id"])
	if !ok {
		writeProblem(w, http.StatusNotFound, "unknown_explanation", "this host keeps no explanation with that id; it keeps only its latest")
		return
	}
	writeJSON(w, http.StatusOK, rec)
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"live"})
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.opts.Ready(); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "not_ready", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ready"})
}

// refreshRequested reports whether the response header has the caller request addresses again; the body repeats it for
// callers that read only the body.
func refreshRequested(w http.ResponseWriter) bool {
	return w.Header().Get(caller.HeaderUseAddresses) != ""
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

// setRetryAfter sets the Retry-After header, rounded up to whole seconds.
func setRetryAfter(w http.ResponseWriter, ms int64) {
	if ms > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("callers: encode response body of type %T: %v", v, err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(b)
}

func writeProblem(w http.ResponseWriter, status int, code, reason string) {
	writeJSON(w, status, caller.Problem{Code: code, Reason: reason})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, http.StatusNotFound, "unknown_path", fmt.Sprintf("there is nothing at %s", r.URL.Path))
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, http.StatusMethodNotAllowed, "wrong_method", fmt.Sprintf("%s can't be used at %s", r.Method, r.URL.Path))
}
