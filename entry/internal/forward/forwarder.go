package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/apikey"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/route"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/allowance"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/records"
	"guavaspring.org/entry/internal/requestlog"
	"guavaspring.org/entry/internal/routestats"
	"guavaspring.org/entry/internal/scatter"
)

const (
	// retryAfterNoConfig is the Retry-After of a host without a configuration. The host loads one within two calls to
	// the store.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterNoReplica is the Retry-After of a service without replicas. A new replica is listed within one or two
	// seconds of its start.
	retryAfterNoReplica = 500 * time.Millisecond
	// retryAfterShed is the Retry-After when all replicas shed load or have all connections in use. A few replies later
	// there is capacity again.
	retryAfterShed = 100 * time.Millisecond
	// retryAfterNoMemory is the Retry-After of a host that has no memory for another message.
	retryAfterNoMemory = 300 * time.Millisecond
	// retryAfterStopping is the Retry-After of a host that stops. The other hosts can serve the request at once.
	retryAfterStopping = 10 * time.Millisecond
	// responseTimeout limits the time to write a response, for clients that stop reading.
	responseTimeout = 10 * time.Second
	// minRetryElapsed is the reduction of the client's timeout, compared with the route's usual one, from which a
	// request counts as a retry: the refused attempt cost the client one round trip.
	minRetryElapsed = 5 * time.Millisecond
	// defaultTimeout applies to requests for which neither the client nor the route sets a timeout.
	defaultTimeout = 10 * time.Second
	// lastQuantile is the quantile of the recent replies within which a request must end before a stopping host is killed. A
	// request that takes longer is answered that it may have run. The 99th percentile refused requests seconds too early
	// because of a few replies that had been queued.
	lastQuantile = 0.95
	// expectedMarginShare is added to the expected time, as a share of it: replies vary, and a request that ends just after
	// the host would lose its answer.
	expectedMarginShare = 0.1
	// defaultExpected is the expected time of a route without replies so far and without an objective.
	defaultExpected = time.Second
)

// Messages sent to clients with a refusal.
const (
	msgNoConfig       = "the configuration is not known yet"
	msgNoRoute        = "no route"
	msgHeaderTooLarge = "the header is over the limit"
	msgBodyTooLarge   = "the body is over the limit"
	// msgQuarantined refuses a request that crashed replicas, regardless of the client that sends it.
	msgQuarantined = "the request is quarantined: replicas crashed under it"
	// msgUnknownKey refuses a request with a missing key or a key that belongs to no customer.
	msgUnknownKey = "no customer has the key"
	// msgOverAllowance refuses a request of a customer that exceeds its rate limit.
	msgOverAllowance = "the customer's allowance is used up"
	// msgAllowanceUnknown refuses a request while the customer's rate limit can't be checked.
	msgAllowanceUnknown = "the customer's allowance can't be checked now"
	// msgNoCommonHome refuses a request whose route and customer have no home region in common.
	msgNoCommonHome = "no region is a home of both the route and the customer"
	// msgStopping refuses a request that would not be answered before the host is killed.
	msgStopping = "the host stops before the request would be answered; it did not run"
)

// Options configures a Forwarder.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	Codec *opaque.Codec
	// Config returns the configuration in force, or nil before the first one is loaded.
	Config func() *route.Table
	Table  *endpoints.Table
	// Known reports whether the host has loaded all the data that requests need. If nil, the host is ready once the
	// configuration and the list of replicas are loaded.
	Known  func() bool
	Runner *scatter.Runner
	// Quarantine holds the fingerprints of requests that crash replicas.
	Quarantine *quarantine.Quarantine
	// Allowance decides whether a request is within its customer's rate limit. If nil, customers have no limit.
	Allowance func(ctx context.Context, req allowance.Request) allowance.Decision
	// Await blocks during startup until the configuration and the replicas are loaded, and reports whether they are.
	// If nil, requests that arrive earlier are refused at once.
	Await func(ctx context.Context) bool
	// CanFinish reports whether a request that is expected to take that long would be answered before the host is killed;
	// nil means always.
	CanFinish func(expected time.Duration) bool
	// OnEnd calls a function when the host stops and all requests have to be answered at once, and returns a function that
	// keeps it from being called; nil means never.
	OnEnd func(f func()) (release func() bool)
	// Memory limits the memory of requests and replies; nil means no limit.
	Memory *memory.Budget
	// Requests writes one log line per request.
	Requests *requestlog.Log
	// Ended is called for each request that was run, before its log line is written. It fills in the age of the
	// configuration and of the list of replicas.
	Ended func(e *requestlog.Entry)
	// Refused is called for each request that was refused before it was sent to a replica.
	Refused func(r requestlog.Refusal)
}

// Forwarder is the HTTP handler for clients' requests.
type Forwarder struct {
	opts Options
	// routes holds a *routestats.Route per route, keyed by host name and prefix. The entries are kept when the
	// configuration changes.
	routes sync.Map
	// classes holds the classes of the newest configuration.
	classes atomic.Pointer[classes]
}

// New returns a forwarder.
func New(opts Options) *Forwarder {
	if opts.Await == nil {
		opts.Await = func(context.Context) bool { return false }
	}
	if opts.Known == nil {
		opts.Known = func() bool { return opts.Config() != nil && opts.Table.Known() }
	}
	if opts.Allowance == nil {
		opts.Allowance = func(context.Context, allowance.Request) allowance.Decision {
			return allowance.Decision{Admitted: true, Source: allowance.SourceUnlimited}
		}
	}
	if opts.CanFinish == nil {
		opts.CanFinish = func(time.Duration) bool { return true }
	}
	if opts.OnEnd == nil {
		opts.OnEnd = func(func()) func() bool { return func() bool { return true } }
	}
	return &Forwarder{opts: opts}
}

// ServeHTTP forwards one request to replicas and writes the response.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.opts.Clock.Now()
	if !f.opts.Known() && !f.opts.Await(r.Context()) {
		f.reject(w, r, refusal{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoConfig, cause: requestlog.CauseUnknown, message: msgNoConfig})
		return
	}
	reserved, err := f.opts.Memory.Reserve(memory.Client)
	if err != nil {
		f.reject(w, r, memoryRefusal(err))
		return
	}
	defer reserved.Release()
	q, ref := f.newQuery(w, r, arrived, reserved)
	if ref != nil {
		f.reject(w, r, *ref)
		return
	}
	f.opts.Requests.Admitted(q)
	rep := f.opts.Runner.Run(r.Context(), *q)
	e := requestlog.Entry{Query: q, Report: &rep, ConfigVersion: q.Version}
	e.Status = f.writeResponse(w, q.Route, &rep)
	if e.Unwritten = flush(w); e.Unwritten != nil {
		events.AnswerBroken.Log(f.opts.Log, "request", q.Request.ID, "reason", e.Unwritten.Error())
	}
	e.Took = f.opts.Clock.Now().Sub(arrived)
	f.opts.Ended(&e)
	f.opts.Requests.Write(&e)
}

// newQuery reads a request and returns the query to run, or a refusal. Checks that need only the header come before the
// body is read.
func (f *Forwarder) newQuery(w http.ResponseWriter, r *http.Request, arrived time.Time, reserved *memory.Reservation) (*scatter.Query, *refusal) {
	table := f.opts.Config()
	limits := table.Config().Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, cause: requestlog.CauseHeader, message: msgHeaderTooLarge}
	}
	req := f.opts.Codec.Decode(r, nil)
	rt := table.Find(req.Host, req.Path)
	var customer *route.Customer
	if rt != nil {
		var ref *refusal
		if customer, ref = f.authenticate(table, rt, &req); ref != nil {
			return nil, ref
		}
	}
	body, err := f.readBodyInTime(w, r, limits.BodyBytes, reserved)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	req.Body = body
	if rt == nil {
		return nil, &refusal{
			status: http.StatusNotFound, cause: requestlog.CauseNoRoute, message: msgNoRoute, detail: "version " + strconv.FormatInt(table.Config().Version, 10),
		}
	}
	q := &scatter.Query{Request: &req, Route: rt, Learned: f.learnedRoute(rt), Arrived: arrived, Deadline: deadline(arrived, &req, rt), Version: table.Config().Version, Memory: reserved, Class: f.class(table, rt, customer)}
	if ref := f.admit(r.Context(), q, customer); ref != nil {
		return nil, ref
	}
	q.Shards = f.shards(rt)
	return q, nil
}

// authenticate returns the customer that the request's key belongs to, or a refusal. It removes the key from the
// request, so that the key reaches neither replicas nor other hosts.
func (f *Forwarder) authenticate(table *route.Table, rt *route.Route, req *opaque.Request) (*route.Customer, *refusal) {
	if !table.Config().Keyed {
		return nil, nil
	}
	f.opts.Codec.StripKey(req.Header)
	customer := table.Customer(req.Key)
	if customer == nil {
		if rt.Public {
			return nil, nil
		}
		return nil, &refusal{
			status: http.StatusUnauthorized, cause: requestlog.CauseKey, message: msgUnknownKey,
			detail: "key " + req.Key.String() + ", version " + strconv.FormatInt(table.Config().Version, 10),
		}
	}
	req.Customer, req.Key = customer.Name, apikey.Key{}
	return customer, nil
}

// admit decides whether a request whose route and customer are known may run, and returns a refusal if not. The
// customer's rate limit is checked last, so that a request refused for another reason uses no tokens.
func (f *Forwarder) admit(ctx context.Context, q *scatter.Query, customer *route.Customer) *refusal {
	var ok bool
	if q.Homes, ok = homes.Common(q.Route, customer); !ok {
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoReplica, cause: requestlog.CauseHomes, message: msgNoCommonHome, customer: q.Request.Customer}
	}
	q.Fingerprint = quarantine.Fingerprint(q.Request.Host, []byte(q.Request.Method), []byte(q.Request.Target), q.Request.Body)
	verdict := f.opts.Quarantine.Check(q.Fingerprint)
	if verdict.Refused {
		return &refusal{
			status: http.StatusServiceUnavailable, retryAfter: verdict.RetryAfter, cause: requestlog.CauseCrashes, message: msgQuarantined,
			detail: "fingerprint " + q.Fingerprint, customer: q.Request.Customer,
		}
	}
	q.Suspect = verdict.Suspect
	if !f.opts.CanFinish(expected(q)) {
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: retryAfterStopping, cause: requestlog.CauseStopping, message: msgStopping, customer: q.Request.Customer}
	}
	isRetry := q.Learned.Arriving.Elapsed(q.Request.Patience) >= minRetryElapsed
	d := f.opts.Allowance(ctx, allowance.Request{Customer: customer, Deadline: q.Deadline, Again: isRetry})
	if d.Admitted {
		return nil
	}
	ref := &refusal{
		status: http.StatusTooManyRequests, retryAfter: d.RetryAfter, cause: requestlog.CauseAllowance, message: msgOverAllowance,
		detail: "decided by " + string(d.Source), customer: q.Request.Customer,
	}
	if !d.Over() {
		ref.status, ref.cause, ref.message = http.StatusServiceUnavailable, requestlog.CauseNoKeeper, msgAllowanceUnknown
	}
	return ref
}

// expected returns the time that a request is expected to take at most, from the recent replies to its route.
func expected(q *scatter.Query) time.Duration {
	fallback := q.Route.Objective
	if fallback <= 0 {
		fallback = defaultExpected
	}
	recent := q.Learned.Recent.Quantile(lastQuantile, fallback)
	return min(time.Duration((1+expectedMarginShare)*float64(recent)), q.Deadline.Sub(q.Arrived))
}

// deadline returns the earlier of the route's and the client's deadline.
func deadline(arrived time.Time, req *opaque.Request, rt *route.Route) time.Time {
	limit := rt.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if req.Patience > 0 {
		limit = min(limit, req.Patience)
	}
	return arrived.Add(limit)
}

// shards returns the services that a request to the route is sent to: all shards, or one service of the traffic split.
func (f *Forwarder) shards(rt *route.Route) []*endpoints.Service {
	if len(rt.Shards) == 0 {
		return []*endpoints.Service{f.opts.Table.Service(pickWeighted(rt.Split))}
	}
	list := make([]*endpoints.Service, len(rt.Shards))
	for i, name := range rt.Shards {
		list[i] = f.opts.Table.Service(name)
	}
	return list
}

// pickWeighted picks a service of a split at random, with a probability proportional to its weight.
func pickWeighted(split []route.Share) string {
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	x := rand.Float64() * sum
	for _, s := range split {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}

// learnedRoute returns the measurements of a route and creates them on first use.
func (f *Forwarder) learnedRoute(rt *route.Route) *routestats.Route {
	key := rt.Host + rt.Prefix
	if r, ok := f.routes.Load(key); ok {
		return r.(*routestats.Route)
	}
	r, _ := f.routes.LoadOrStore(key, &routestats.Route{})
	return r.(*routestats.Route)
}

// headerBytes returns the size of the request line and the header on the wire, in bytes. It assumes the line breaks and
// separators that most clients send.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("  \r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// maxBodyBytes is the maximum size of a body, also if the configuration has no limit or a larger one.
const maxBodyBytes = 8 << 20

// pastDeadline ends a pending read.
var pastDeadline = time.Unix(1, 0)

// errStopping ends the reading of a body on a host that stops.
var errStopping = errors.New(msgStopping)

// readBodyInTime reads and reserves the body as readBody does, and returns errStopping if it has not arrived when a stopping
// host has to answer all requests.
func (f *Forwarder) readBodyInTime(w http.ResponseWriter, r *http.Request, limit int, reserved *memory.Reservation) ([]byte, error) {
	var ended atomic.Bool
	release := f.opts.OnEnd(func() {
		ended.Store(true)
		_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
	})
	defer release()
	body, err := readBody(w, r, limit, reserved)
	if err != nil && ended.Load() {
		return nil, errStopping
	}
	return body, err
}

// readBody reads the body and reserves its memory. It returns memory.ErrTooLong if the body is longer than limit or
// maxBodyBytes; a limit of zero means none.
func readBody(w http.ResponseWriter, r *http.Request, limit int, reserved *memory.Reservation) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 || limit > maxBodyBytes {
		limit = maxBodyBytes
	}
	reserved.OnCut(func() { _ = http.NewResponseController(w).SetReadDeadline(pastDeadline) })
	defer reserved.OnCut(nil)
	body, err := reserved.ReadAll(r.Body, r.ContentLength, int64(limit))
	if cut := reserved.Err(); cut != nil {
		// The deadline may be set only now, and must not end a later request.
		w.Header().Set("Connection", "close")
		return nil, cut
	}
	return body, err
}

func bodyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, memory.ErrExceeded):
		ref := memoryRefusal(err)
		return &ref
	case errors.Is(err, memory.ErrTooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: requestlog.CauseBody, message: msgBodyTooLarge}
	case errors.Is(err, errStopping):
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: retryAfterStopping, cause: requestlog.CauseStopping, message: msgStopping}
	}
	return &refusal{status: http.StatusBadRequest, cause: requestlog.CauseBody, message: err.Error()}
}

// memoryRefusal refuses a request that this host has no memory for; another host may have it.
func memoryRefusal(err error) refusal {
	return refusal{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoMemory, cause: requestlog.CauseMemory, message: err.Error()}
}

// refusal describes the response to a request that is refused before it is sent to a replica.
type refusal struct {
	status int
	// retryAfter is the value of Retry-After, zero if a retry can't succeed.
	retryAfter time.Duration
	cause      requestlog.Cause
	// message is sent to the client and logged; detail is only logged.
	message, detail string
	// customer is the name of the customer, empty if unknown.
	customer string
}

// reject logs and sends a refusal.
func (f *Forwarder) reject(w http.ResponseWriter, r *http.Request, ref refusal) {
	limitWrite(w)
	reason := ref.message
	if ref.detail != "" {
		reason += "; " + ref.detail
	}
	refused := requestlog.Refusal{
		ID: f.opts.Codec.Decode(r, nil).ID, Host: r.Host, Path: r.URL.Path, Status: ref.status, Cause: ref.cause, Reason: reason, Customer: ref.customer,
	}
	f.opts.Requests.Refused(refused)
	f.opts.Refused(refused)
	if ref.status == http.StatusUnauthorized {
		f.opts.Codec.SetKeyChallenge(w.Header())
	}
	if ref.retryAfter > 0 {
		errorWithRetryAfter(w, ref.status, ref.retryAfter, ref.message)
		return
	}
	http.Error(w, ref.message, ref.status)
}

// limitWrite limits the time to write the response, which holds the replies of the replicas in memory.
func limitWrite(w http.ResponseWriter) {
	// Only the recorders of tests have no deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
}

// writeResponse writes the response and returns its status. It writes an error status even if the client has
// disconnected: otherwise the server would send an empty 200 to a client that still reads.
func (f *Forwarder) writeResponse(w http.ResponseWriter, rt *route.Route, rep *scatter.Report) int {
	limitWrite(w)
	switch {
	case len(rt.Shards) > 0 && (rep.Ending == scatter.Complete || rep.Ending == scatter.Partial):
		f.writeMerged(w, rt, rep)
		return http.StatusOK
	case len(rt.Shards) == 0 && mayPassThrough(&rep.Results[0]):
		f.passThrough(w, &rep.Results[0])
		return rep.Results[0].Status
	case !rep.Ran:
		errorWithRetryAfter(w, http.StatusServiceUnavailable, retryAfter(rep), "the request did not run")
		return http.StatusServiceUnavailable
	case rep.Ending == scatter.Expired:
		http.Error(w, "the time is up", http.StatusGatewayTimeout)
		return http.StatusGatewayTimeout
	}
	errorWithRetryAfter(w, http.StatusBadGateway, retryAfterShed, "the replicas failed")
	return http.StatusBadGateway
}

// mayPassThrough reports whether a replica's reply may be sent to the client unchanged. A status that tells clients
// that the request did not run may not, because the replica did not state that.
func mayPassThrough(res *exchange.Result) bool {
	if !res.Whole() || res.Kind.NotRun() {
		return false
	}
	switch res.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return res.Kind == upstream.KindOK || res.Status >= 300
}

// passThrough sends a replica's reply to the client unchanged.
func (f *Forwarder) passThrough(w http.ResponseWriter, res *exchange.Result) {
	f.opts.Codec.CopyHeader(w.Header(), res.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	writeBody(w, res.Body)
}

// writeMerged sends the top records of all successful shards, with their stamps and the number of missing shards.
func (f *Forwarder) writeMerged(w http.ResponseWriter, rt *route.Route, rep *scatter.Report) {
	var parts [][]byte
	var stamps []string
	for i := range rep.Results {
		if res := &rep.Results[i]; res.Kind == upstream.KindOK {
			parts = append(parts, res.Body)
			stamps = append(stamps, res.Reply.Stamp)
		}
	}
	body := records.Top(parts, rt.TopK)
	f.opts.Codec.SetParts(w.Header(), stamps, len(rep.Results)-len(parts))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	writeBody(w, body)
}

// writeBody writes a body. The error of a failed write is returned by flush.
func writeBody(w http.ResponseWriter, body []byte) { _, _ = w.Write(body) }

// flush sends what is left of a response and returns an error if a part of it could not be sent.
func flush(w http.ResponseWriter) error { return http.NewResponseController(w).Flush() }

// retryAfter returns the Retry-After of a request that did not run.
func retryAfter(rep *scatter.Report) time.Duration {
	if rep.Ending == scatter.Overload {
		return rep.RetryAfter.Round(time.Millisecond)
	}
	for i := range rep.Results {
		if rep.Results[i].Kind == upstream.KindShed || rep.Results[i].Busy {
			return retryAfterShed
		}
	}
	return retryAfterNoReplica
}

// errorWithRetryAfter sends an error with a Retry-After header.
func errorWithRetryAfter(w http.ResponseWriter, status int, after time.Duration, why string) {
	w.Header().Set("Retry-After", seconds(after))
	http.Error(w, why, status)
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }
