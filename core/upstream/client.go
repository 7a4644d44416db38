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

const maxReply = 8 << 20

// Options configures a Client.
type Options struct {
	// Clock tells the time; nil means the system's.
	Clock clock.Clock
	// Seats is the most connections held to each replica.
	Seats int

	cold bool
}

// Client sends tries to the replicas of one service; it never sends one twice.
type Client struct {
	clock clock.Clock
	cold  bool
	// lane carries the requests that come next; SetSeats replaces it.
	lane atomic.Pointer[lane]

	mu    sync.Mutex
	most  int
	seats map[string]*seats
}

// lane is an HTTP client over a transport that holds at most a number of connections to a replica.
type lane struct {
	http *khttp.Client
	tr   *http.Transport
}

// New returns a client without any connection yet.
func New(opts Options) (*Client, error) {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	c := &Client{clock: opts.Clock, cold: opts.cold, most: opts.Seats, seats: map[string]*seats{}}
	l, err := c.newLane(opts.Seats)
	if err != nil {
		return nil, err
	}
	c.lane.Store(l)
	return c, nil
}

func (c *Client) newLane(most int) (*lane, error) {
	tr := &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     most,
		MaxIdleConnsPerHost: most,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}
	hc, err := khttp.NewClient(context.Background(), khttp.WithTransport(noRedirect{tr}), khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return nil, fmt.Errorf("upstream client: %w", err)
	}
	return &lane{http: hc, tr: tr}, nil
}

// SetSeats changes the most connections held to each replica; requests in flight end on the connections that they have.
//
// Operators lower the limit because a replica's connections are wanted elsewhere. A transport can't be given
// another limit while it runs, so later requests go through a new one; both dial through the same seats, whose count
// of open connections goes on, so that the replica never sees more than the higher of the two limits.
func (c *Client) SetSeats(most int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if most == c.most {
		return nil
	}
	l, err := c.newLane(most)
	if err != nil {
		return err
	}
	c.most = most
	for _, s := range c.seats {
		s.setMost(most)
	}
	old := c.lane.Swap(l)
	// The transport closes the connections that are idle now, and the others as their requests end.
	old.tr.CloseIdleConnections()
	return nil
}

// seat returns the connections held to the replica at addr.
func (c *Client) seat(addr string) *seats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.seats[addr]
	if s == nil {
		s = newSeats(addr, c.most, c.clock, c.cold)
		c.seats[addr] = s
		c.clock.AfterFunc(idleLimit/2, func() { c.renew(s) })
	}
	return s
}

func (c *Client) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return c.seat(addr).take(ctx)
}

// renew looks after the seats at one replica twice in idleLimit, until the replica is no longer used.
func (c *Client) renew(s *seats) {
	if s.renew() {
		c.mu.Lock()
		delete(c.seats, s.addr)
		c.mu.Unlock()
		s.close()
		return
	}
	s.fill()
	c.clock.AfterFunc(idleLimit/2, func() { c.renew(s) })
}

// Stats returns the sums over all replicas; Peak is the highest of any one.
func (c *Client) Stats() SeatStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum SeatStats
	for _, s := range c.seats {
		s.mu.Lock()
		sum.Ready += s.stats.Ready
		sum.Dialled += s.stats.Dialled
		sum.Refused += s.stats.Refused
		sum.Silent += s.silence.count()
		sum.Refreshed += s.stats.Refreshed
		sum.Open += s.open
		sum.Peak = max(sum.Peak, s.stats.Peak)
		s.mu.Unlock()
	}
	return sum
}

// Close drops the connections that no request uses.
func (c *Client) Close() {
	c.mu.Lock()
	for _, s := range c.seats {
		s.close()
	}
	c.mu.Unlock()
	c.lane.Load().tr.CloseIdleConnections()
}

// QueryTry is one try of a query at one replica.
type QueryTry struct {
	ID      string
	Version int64
	Shard   int
	Body    []byte
	// Patient lets the try wait for its deadline on a connection that looks silent: a long query looks like that too,
	// and must not be cut off again where it is tried next.
	Patient bool
}

// Query sends one try; the deadline of ctx is passed on and its cancellation reaches the replica.
func (c *Client) Query(ctx context.Context, addr netip.AddrPort, try QueryTry) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.request(ctx, http.MethodPost, addr, "/v1/query", try.ID, try.Body)
	if err != nil {
		return Result{Kind: KindNotSent, Detail: err.Error()}
	}
	req.Header.Set(HeaderVersion, strconv.FormatInt(try.Version, 10))
	req.Header.Set(HeaderShard, strconv.Itoa(try.Shard))
	at := &attempt{usual: true, cancel: cancel}
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
	// A late reply of an earlier request on the same connection must never be taken for this one's.
	q := res.Query
	if q.RequestID != try.ID || q.Version != try.Version || q.Shard != try.Shard {
		return failed(res, KindForeign, fmt.Sprintf("reply belongs to request %q, version %d, shard %d", q.RequestID, q.Version, q.Shard))
	}
	return res
}

// Write sends one try of a non-idempotent request; nothing below this call sends it again.
func (c *Client) Write(ctx context.Context, addr netip.AddrPort, id string, body []byte) Result {
	req, err := c.request(ctx, http.MethodPost, addr, "/v1/write", id, body)
	if err != nil {
		return Result{Kind: KindNotSent, Detail: err.Error()}
	}
	// A write is never given up early: its reply may still come, and nothing is won by not knowing sooner.
	res, b := c.do(ctx, req, &attempt{usual: true})
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
	if err := json.Unmarshal(b, &h); err != nil {
		return h, failed(res, KindError, fmt.Sprintf("health can't be read: %v", err))
	}
	return h, res
}

func (c *Client) request(ctx context.Context, method string, addr netip.AddrPort, path, id string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	// Without GetBody neither net/http's transport nor a redirect can send the body a second time.
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
	seat := c.seat(req.URL.Host)
	seat.touch()
	at.clock, at.silence = c.clock, seat.silence
	defer at.end()
	resp, err := c.lane.Load().http.Do(at.trace(req))
	if err != nil {
		return c.transportFailure(ctx, at, start, err), nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
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
	// A reply that is cut at the bound may still parse, and would pass for a whole one.
	if len(body) > maxReply {
		return failed(res, KindError, fmt.Sprintf("the reply is over %d bytes", maxReply)), nil
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(res, resp, req.Header.Get(HeaderRequest), body), nil
	}
	return res, body
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
	// A refusal that answers an earlier request on the connection says nothing about this one.
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
