package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// maxReplyBytes is the maximum size of a response's body.
	maxReplyBytes = 16 << 20
	// maxHeaderBytes is the maximum size of a response's header, with the interim responses before it.
	maxHeaderBytes = 64 << 10
)

// Client sends requests to hosts as a caller; it never resends a request by itself.
type Client struct {
	http *khttp.Client
	name string
}

// Request holds the parameters of a call other than its body.
type Request struct {
	Host     netip.AddrPort
	Service  string
	ID       string
	Deadline time.Duration
	Ticket   string
}

// ProblemError is an error response of a host to an invalid request.
type ProblemError struct {
	Status  int
	Problem Problem
}

// Error returns the status, code and reason of the response.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("host replied %d: %s: %s", e.Status, e.Problem.Code, e.Problem.Reason)
}

// New returns a client that sends name as HeaderCaller and keeps at most conns idle connections to each host.
func New(name string, conns int) (*Client, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: conns, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	hc, err := khttp.NewClient(context.Background(), khttp.WithTransport(transport), khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return nil, fmt.Errorf("caller client: %w", err)
	}
	return &Client{http: hc, name: name}, nil
}

// Addresses requests the addresses of the hosts for r.Service from the host at r.Host, with n write tickets.
func (c *Client) Addresses(ctx context.Context, r Request, n int) (Addresses, error) {
	var reply Addresses
	path := "/v1/addresses?service=" + url.QueryEscape(r.Service) + "&tickets=" + strconv.Itoa(n)
	err := c.do(ctx, http.MethodGet, path, r, nil, &reply)
	return reply, err
}

// Query runs a query on the host at r.Host; a refused query is an Answer with OutcomeRefused, not an error.
func (c *Client) Query(ctx context.Context, r Request, q Query) (Answer, error) {
	var reply Answer
	err := c.do(ctx, http.MethodPost, "/v1/services/"+url.PathEscape(r.Service)+"/query", r, q, &reply)
	return reply, err
}

// Write runs a write on the host at r.Host; an error means that the outcome of the write is unknown.
func (c *Client) Write(ctx context.Context, r Request, w Write) (WriteAnswer, error) {
	var reply WriteAnswer
	err := c.do(ctx, http.MethodPost, "/v1/services/"+url.PathEscape(r.Service)+"/write", r, w, &reply)
	return reply, err
}

// Get requests any other path of the host at r.Host, such as an explanation, and decodes the response into reply.
func (c *Client) Get(ctx context.Context, r Request, path string, reply any) error {
	return c.do(ctx, http.MethodGet, path, r, nil, reply)
}

func (c *Client) do(ctx context.Context, method, path string, r Request, body, reply any) error {
	var rd io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode body of %s: %w", path, err)
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Host.String()+path, rd)
	if err != nil {
		return fmt.Errorf("request to host %s: %w", r.Host, err)
	}
	// Without GetBody neither the transport nor a redirect can send the body again.
	req.GetBody = nil
	c.setHeaders(req, r)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("host %s: %w", r.Host, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("host %s: %w", r.Host, err)
	}
	return decode(resp.StatusCode, b, reply)
}

func (c *Client) setHeaders(req *http.Request, r Request) {
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderCaller, c.name)
	if r.ID != "" {
		req.Header.Set(HeaderRequest, r.ID)
	}
	if r.Deadline > 0 {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.Ticket != "" {
		req.Header.Set(HeaderTicket, r.Ticket)
	}
}

func decode(status int, b []byte, reply any) error {
	var p Problem
	if status != http.StatusOK && json.Unmarshal(b, &p) == nil && p.Code != "" {
		return &ProblemError{Status: status, Problem: p}
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return fmt.Errorf("reply with status %d: %w", status, err)
	}
	return nil
}
