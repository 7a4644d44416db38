package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"guavaspring.org/core/clock"
)

const (
	// maxReplyBytes is the maximum size of a reply's body.
	maxReplyBytes = 8 << 20
	// maxHeaderBytes is the maximum size of a reply's header, with the interim replies before it.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	// Clock is the source of time; nil means the system clock.
	Clock clock.Clock
	// MaxConns is the maximum number of connections to each replica.
	MaxConns int

	dialOnDemand bool
}

// Client sends attempts to the replicas of one service; it never sends the same attempt twice.
type Client struct {
	clock        clock.Clock
	dialOnDemand bool
	// current is the HTTP client for all new requests; SetMaxConns replaces it.
	current atomic.Pointer[httpClient]

	mu        sync.Mutex
	connLimit int
	pools     map[string]*connPool
}

// httpClient is an HTTP client and its transport, which has a fixed limit of connections to each replica.
type httpClient struct {
	http *khttp.Client
	tr   *http.Transport
}

// New returns a client without open connections.
func New(opts Options) (*Client, error) {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	c := &Client{clock: opts.Clock, dialOnDemand: opts.dialOnDemand, connLimit: opts.MaxConns, pools: map[string]*connPool{}}
	l, err := c.newHTTPClient(opts.MaxConns)
	if err != nil {
		return nil, err
	}
	c.current.Store(l)
	return c, nil
}

func (c *Client) newHTTPClient(connLimit int) (*httpClient, error) {
	tr := &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     connLimit,
		MaxIdleConnsPerHost: connLimit,
		IdleConnTimeout:     maxIdle,
		DisableCompression:  true,
		// The default allows 10 MB on each connection.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	hc, err := khttp.NewClient(context.Background(), khttp.WithTransport(noRedirect{tr}), khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return nil, fmt.Errorf("upstream client: %w", err)
	}
	return &httpClient{http: hc, tr: tr}, nil
}

// SetMaxConns changes the maximum number of connections to each replica; requests in flight finish on their
// connections.
//
// Operators lower the limit if other systems need the connections of a replica. The limit of a running transport can't
// be changed, so later requests use a new transport. Both transports dial through the same pool and share its count of
// open connections, so a replica never has more connections than the higher of the two limits.
func (c *Client) SetMaxConns(connLimit int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connLimit == c.connLimit {
		return nil
	}
	l, err := c.newHTTPClient(connLimit)
	if err != nil {
		return err
	}
	c.connLimit = connLimit
	for _, s := range c.pools {
		s.setConnLimit(connLimit)
	}
	old := c.current.Swap(l)
	// The transport closes its idle connections now and each other connection when its request ends.
	old.tr.CloseIdleConnections()
	return nil
}

// pool returns the connection pool of the replica at addr and creates it on first use.
func (c *Client) pool(addr string) *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.pools[addr]
	if s == nil {
		s = newConnPool(addr, c.connLimit, c.clock, c.dialOnDemand)
		c.pools[addr] = s
		c.clock.AfterFunc(maxIdle/2, func() { c.maintain(s) })
	}
	return s
}

func (c *Client) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return c.pool(addr).get(ctx)
}

// maintain renews the spare connections of one replica twice in each maxIdle, and deletes its pool once the replica is
// unused.
func (c *Client) maintain(s *connPool) {
	if s.closeExpired() {
		c.mu.Lock()
		delete(c.pools, s.addr)
		c.mu.Unlock()
		s.close()
		return
	}
	s.fill()
	c.clock.AfterFunc(maxIdle/2, func() { c.maintain(s) })
}

// Stats returns the sums over all replicas; Peak is the highest value of a single replica.
func (c *Client) Stats() PoolStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum PoolStats
	for _, s := range c.pools {
		s.mu.Lock()
		sum.Ready += s.stats.Ready
		sum.Dialed += s.stats.Dialed
		sum.Refused += s.stats.Refused
		sum.Silent += s.silence.count()
		sum.Refreshed += s.stats.Refreshed
		sum.Open += s.open
		sum.Peak = max(sum.Peak, s.stats.Peak)
		s.mu.Unlock()
	}
	return sum
}

// Close closes all connections that no request uses.
func (c *Client) Close() {
	c.mu.Lock()
	for _, s := range c.pools {
		s.close()
	}
	c.mu.Unlock()
	c.current.Load().tr.CloseIdleConnections()
}

// QueryAttempt is one attempt of a query at one replica.
type QueryAttempt struct {
	ID      string
	Version int64
	Shard   int
	Body    []byte
	// Patient makes the attempt wait until its deadline even if its connection appears silent. A long query looks
	// the same, and its retry must not be canceled for that reason again.
	Patient bool
}

// Query sends one attempt of a query; the deadline and the cancellation of ctx are passed on to the replica.
func (c *Client) Query(ctx context.Context, addr netip.AddrPort, try QueryAttempt) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.request(ctx, http.MethodPost, addr, "/v1/query", try.ID, try.Body)
	if err != nil {
		return Result{Kind: KindNotSent, Detail: err.Error()}
	}
	req.Header.Set(HeaderVersion, strconv.FormatInt(try.Version, 10))
	req.Header.Set(HeaderShard, strconv.Itoa(try.Shard))
	at := &attempt{body: try.Body, countsLatency: true, cancel: cancel}
	if try.Patient {
		at.cancel = nil
	}
	res, body := c.do(ctx, req, at)
	if res.Kind != KindOK {
		return res
	}
	if err := json.Unmarshal(body, &res.Query); err != nil {
		return failed(res, KindError, fmt.Sprintf("reply can't be read: %v", err))
	}
	// A late reply to an earlier request on the same connection must not be accepted for this request.
	q := res.Query
	if q.RequestID != try.ID || q.Version != try.Version || q.Shard != try.Shard {
		return failed(res, KindForeign, fmt.Sprintf("reply belongs to request %q, version %d, shard %d", q.RequestID, q.Version, q.Shard))
	}
	return res
}

// Write sends one attempt of a non-idempotent request; nothing below this call sends it again.
func (c *Client) Write(ctx context.Context, addr netip.AddrPort, id string, body []byte) Result {
	req, err := c.request(ctx, http.MethodPost, addr, "/v1/write", id, body)
	if err != nil {
		return Result{Kind: KindNotSent, Detail: err.Error()}
	}
	// A write is never canceled early: its reply may still arrive, and an earlier unknown outcome has no benefit.
	res, b := c.do(ctx, req, &attempt{body: body, countsLatency: true})
	if res.Kind != KindOK {
		return res
	}
	var reply WriteReply
	if err := json.Unmarshal(b, &reply); err != nil {
		return failed(res, KindError, fmt.Sprintf("reply can't be read: %v", err))
	}
	if reply.RequestID != id {
		return failed(res, KindForeign, fmt.Sprintf("reply belongs to request %q", reply.RequestID))
	}
	res.Write = reply.Result
	return res
}

// Health reads the health endpoint of a replica.
func (c *Client) Health(ctx context.Context, addr netip.AddrPort) (Health, Result) {
	var h Health
	req, err := c.request(ctx, http.MethodGet, addr, "/v1/health", "", nil)
	if err != nil {
		return h, Result{Kind: KindNotSent, Detail: err.Error()}
	}
	res, b := c.do(ctx, req, &attempt{})
	if res.Kind != KindOK {
		return h, res
	}
	var reply struct {
		Health
		RequestID string `json:"request_id"`
	}
	if err := json.Unmarshal(b, &reply); err != nil {
		return h, failed(res, KindError, fmt.Sprintf("health can't be read: %v", err))
	}
	// Only replies to queries and writes name a request.
	if reply.RequestID != "" {
		return h, failed(res, KindForeign, fmt.Sprintf("reply belongs to request %q", reply.RequestID))
	}
	return reply.Health, res
}

func (c *Client) request(ctx context.Context, method string, addr netip.AddrPort, path, id string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	// Without GetBody neither the transport of net/http nor a redirect can send the body a second time.
	req.GetBody = nil
	if id != "" {
		req.Header.Set(HeaderRequest, id)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := deadline.Sub(c.clock.Now())
		if left <= 0 {
			return nil, fmt.Errorf("deadline passed before sending")
		}
		req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	}
	return req, nil
}

func (c *Client) do(ctx context.Context, req *http.Request, at *attempt) (Result, []byte) {
	start := c.clock.Now()
	pool := c.pool(req.URL.Host)
	pool.touch()
	at.clock, at.silence = c.clock, pool.silence
	defer at.end()
	resp, err := c.send(req, at)
	if err != nil {
		return c.transportFailure(ctx, at, start, err), nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return c.transportFailure(ctx, at, start, err), nil
	}
	res := Result{
		Kind:     KindOK,
		Took:     c.clock.Now().Sub(start),
		Holdings: resp.Header.Get(HeaderVersions),
		Draining: resp.Header.Get(HeaderDraining) == "1",
		Claimed:  resp.Header.Get(HeaderLoad),
	}
	// A reply that is truncated at the limit may still be valid JSON and would be accepted as complete.
	if len(body) > maxReplyBytes {
		return failed(res, KindError, fmt.Sprintf("the reply is over %d bytes", maxReplyBytes)), nil
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(res, resp, req.Header.Get(HeaderRequest), body), nil
	}
	return res, body
}

// send sends a request. If its connection is closed as idle before a byte is sent, the request gets another one; net/http
// itself would do so only for requests whose body it may send again.
func (c *Client) send(req *http.Request, at *attempt) (*http.Response, error) {
	for {
		resp, err := c.current.Load().http.Do(at.trace(req))
		if err == nil || req.Context().Err() != nil || !at.restart() {
			return resp, err
		}
		// The transport may still read the former body.
		req = req.WithContext(req.Context())
		req.Body = io.NopCloser(bytes.NewReader(at.body))
	}
}

func (c *Client) transportFailure(ctx context.Context, at *attempt, start time.Time, err error) Result {
	kind := KindBroken
	switch sent := at.giveUp(); {
	case !sent:
		kind = KindNotSent
	case at.silent.Load():
		kind = KindSilent
	case ctx.Err() != nil:
		kind = KindCanceled
	}
	return Result{Kind: kind, Detail: err.Error(), Took: c.clock.Now().Sub(start)}
}

func refusal(res Result, resp *http.Response, id string, body []byte) Result {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return failed(res, KindError, fmt.Sprintf("status %d", resp.StatusCode))
	}
	detail := string(p.Code) + ": " + p.Reason
	// A refusal of an earlier request on the connection does not apply to this request.
	if p.RequestID != "" && p.RequestID != id {
		return failed(res, KindForeign, fmt.Sprintf("refusal belongs to request %q", p.RequestID))
	}
	return failed(res, refusalKind(p.Code, p.RequestID == id && resp.Header.Get(HeaderNotRun) == "true"), detail)
}

func refusalKind(code Code, notRun bool) Kind {
	switch {
	case code == CodeVersionGone:
		return KindVersionGone
	case !notRun:
		return KindError
	case code == CodeShed:
		return KindShed
	case code == CodeDraining:
		return KindDraining
	default:
		return KindRefused
	}
}

func failed(res Result, kind Kind, detail string) Result {
	res.Kind, res.Detail = kind, detail
	return res
}
