package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"guavaspring.org/platform/platformtest"
	"guavaspring.org/soak/internal/hosts"
)

const (
	// addrLifetime is how long resolved addresses are used; one client in four uses them three times as long.
	addrLifetime = 1500 * time.Millisecond
	// Patience is the deadline that a client sends in the header. The client waits patienceSlack longer, to distinguish a
	// late response from none.
	Patience      = 2 * time.Second
	patienceSlack = 4 * time.Second
	// writeShare is the share of writes among the requests; a write must not run twice.
	writeShare = 0.3
	pause      = 20 * time.Millisecond
)

// Attempt is one request to one host, with its result as observed by the client.
type Attempt struct {
	ID    string
	Write bool
	// Host is the host that the attempt was sent to. Incarnation is the host's incarnation when the attempt was
	// sent, EndIncarnation when it ended.
	Host                        *hosts.Host
	Incarnation, EndIncarnation int
	Sent, Done                  time.Time
	// Err is the reason for an incomplete response; Status and the fields below are set if the response is complete.
	Err                  error
	Status               int
	Stamps, MissingParts string
	Body                 []byte
	// Sender is the sender of the request, nil where the configuration names no customers.
	Sender *Sender
	// The fields below are set by a Keeper. Answered is the time at which the response began, Written the time at which the
	// last byte of the request was sent, zero if it was not. Kept means that the connection had served a request before.
	Kind     *Kind
	Habit    Habit
	Written  time.Time
	Answered time.Time
	Kept     bool
	// hesitation is the pause after the first part of the request, whose share of the bytes is split.
	hesitation time.Duration
	split      float64
}

// Sender is a customer, or a client that is none.
type Sender struct {
	// Key is sent with each request; empty for none.
	Key string
	// Customer reports that the key is a customer's, and Hasty that the client sends without a pause.
	Customer, Hasty bool
}

// Client sends one attempt at a time over persistent connections.
type Client struct {
	name        string
	all         []*hosts.Host
	http        *http.Client
	slow        bool
	addrs       []string
	addrsExpire time.Time
	n           int
	// Sender is the sender of the requests, nil where the configuration names no customers.
	Sender *Sender
	// report is called after each attempt.
	report func(Attempt)
}

// New returns client number n; report must be safe for concurrent use.
func New(n int, all []*hosts.Host, report func(Attempt)) *Client {
	return &Client{name: fmt.Sprintf("c%d", n), all: all, http: &http.Client{Transport: &http.Transport{}}, slow: n%4 == 0, report: report}
}

// Run sends attempts until ctx is done.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if time.Now().After(c.addrsExpire) {
			c.resolve(ctx)
		}
		if len(c.addrs) > 0 {
			c.attempt(ctx, c.addrs[rand.IntN(len(c.addrs))])
		}
		if c.Sender == nil || !c.Sender.Hasty {
			time.Sleep(pause)
		}
	}
}

func (c *Client) resolve(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h := c.all[rand.IntN(len(c.all))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Directory()+platformtest.ResolvePath("osborne-hall"), nil)
	if err != nil {
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// The old addresses stay in use; the next call picks another host.
		return
	}
	defer resp.Body.Close()
	var ans struct{ Addrs []string }
	if err := json.NewDecoder(resp.Body).Decode(&ans); err != nil || len(ans.Addrs) == 0 {
		return
	}
	c.addrs, c.addrsExpire = ans.Addrs, time.Now().Add(addrLifetime)
	if c.slow {
		c.addrsExpire = c.addrsExpire.Add(2 * addrLifetime)
	}
}

func (c *Client) host(front string) *hosts.Host {
	for _, h := range c.all {
		if h.Front() == front {
			return h
		}
	}
	return nil
}

func (c *Client) attempt(ctx context.Context, front string) {
	h := c.host(front)
	if h == nil {
		return
	}
	c.n++
	s := Attempt{Host: h, Write: rand.Float64() < writeShare, Sent: time.Now(), Sender: c.Sender}
	method, path, kind := http.MethodGet, "/bundles/x", "q"
	var body []byte
	if s.Write {
		method, path, kind, body = http.MethodPost, "/desk/x", "w", []byte("three bags")
	}
	s.ID = fmt.Sprintf("%s%s-%d", kind, c.name, c.n)
	s.Incarnation, _ = h.State()
	ctx, cancel := context.WithTimeout(ctx, Patience+patienceSlack)
	defer cancel()
	s.Err = c.send(ctx, &s, method, path, body)
	s.Done = time.Now()
	s.EndIncarnation, _ = h.State()
	if ctx.Err() == nil || s.Err == nil || time.Since(s.Sent) > Patience {
		c.report(s)
	}
}

func (c *Client) send(ctx context.Context, s *Attempt, method, path string, body []byte) error {
	req, err := platformtest.Request(ctx, method, s.Host.Front(), path, s.ID, int(Patience.Milliseconds()), body)
	if err != nil {
		return err
	}
	if s.Sender != nil && s.Sender.Key != "" {
		platformtest.WithKey(req, s.Sender.Key)
	}
	// With GetBody set, the standard library may resend the body by itself.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	s.Body, err = io.ReadAll(resp.Body)
	s.Status = resp.StatusCode
	s.Stamps, s.MissingParts = platformtest.Parts(resp.Header)
	return err
}
