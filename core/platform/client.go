package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"guavaspring.org/core/feed"
)

// Kind names a kind of object that the system keeps on the platform.
type Kind string

// The kinds of objects: what operators propose, what a host accepted, what is reported, and where hosts are found.
const (
	KindDocument Kind = "document"
	KindAccepted Kind = "accepted"
	KindStatus   Kind = "status"
	KindHosts    Kind = "entry_hosts"
)

// HeaderEra says in each reply how often the platform came back from an older copy of its objects, and in a conditional
// update when the object that was read had been written.
const HeaderEra = "X-Platform-Era"

// countBits is how many lower bits of a version count updates in one era; the era stands above them.
const countBits = 40

// MaxReply is the most bytes read from one reply of the platform.
const MaxReply = 8 << 20

// Errors of the object API that callers act on; every other failure is an outage.
var (
	ErrNotFound    = errors.New("platform: no such object")
	ErrConflict    = errors.New("platform: the object has changed since it was read")
	ErrRateLimited = errors.New("platform: rate limit reached")
	ErrUnavailable = errors.New("platform: unavailable")
)

// Object is one versioned value of the platform.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version grows by one with each update of this object; zero means that it does not exist. The version that a Client
	// returns is higher after the platform came back from an older copy than all before, though the platform counts on
	// from the copy.
	Version int64 `json:"version"`
	// Revision is the platform's global counter at the object's last update.
	Revision int64 `json:"revision"`
	// Era is the era of the object's last write where the platform's objects say it, and otherwise that of the answer which
	// held the object; zero where neither is known.
	Era  int64           `json:"era,omitempty"`
	Body json.RawMessage `json:"body"`
}

// ReplicaState is what the platform's host list says of an upstream replica.
type ReplicaState string

// The two states of the host list; the list lags behind the truth.
const (
	StateLive    ReplicaState = "live"
	StateLeaving ReplicaState = "leaving"
)

// Replica is one row of the platform's host list.
type Replica struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Zone    string         `json:"zone"`
	State   ReplicaState   `json:"state"`
	// Slots is how many requests the replica runs at once, zero where it did not say.
	Slots int `json:"slots,omitempty"`
	// Cold is how much longer the replica stays slow after its start or after it was not used, as of its writing the
	// row.
	Cold time.Duration `json:"cold,omitempty"`
	// Started is when the replica's process started, by the replica's own clock; the zero value where it did not say.
	Started time.Time `json:"started,omitzero"`
	// Sequence counts what the process has written of itself, from its start on; zero where it did not say.
	Sequence int64 `json:"sequence,omitempty"`
}

// SameProcess reports whether both rows tell of one process: a replica that starts again keeps its id and has another
// start.
func (r Replica) SameProcess(other Replica) bool {
	return r.ID == other.ID && r.Service == other.Service && r.Addr == other.Addr && r.Started.Equal(other.Started)
}

// OlderThan reports whether r was written before other, by the same process or by one that started earlier.
//
// A write may reach the store seconds after its writer has given it up. It then stands there as the newest word, and
// would bring back a process that is gone, or take back that a replica leaves.
func (r Replica) OlderThan(other Replica) bool {
	if !r.Started.Equal(other.Started) {
		return r.Started.Before(other.Started)
	}
	return r.Sequence < other.Sequence
}

// Client calls the platform's API at one address.
type Client struct {
	http *khttp.Client
	base string

	mu sync.Mutex
	// era is the newest that a reply bore, and watched that of the last watch of each kind.
	era     int64
	watched map[Kind]int64
}

// New returns a client of the platform at addr; each call lasts as long as its context allows.
func New(addr netip.AddrPort) (*Client, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	hc, err := khttp.NewClient(context.Background(),
		khttp.WithTransport(transport), khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return nil, fmt.Errorf("platform client for %s: %w", addr, err)
	}
	return &Client{http: hc, base: "http://" + addr.String(), watched: map[Kind]int64{}}, nil
}

// Era returns how often the platform came back from an older copy, as the replies until now say.
func (c *Client) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// ordered returns an object whose version is higher than those of all earlier eras.
func ordered(obj Object) Object {
	obj.Version, obj.Era = obj.Era<<countBits|obj.Version, 0
	return obj
}

func orderedAll(objs []Object) []Object {
	for i := range objs {
		objs[i] = ordered(objs[i])
	}
	return objs
}

// Get returns one object; ErrNotFound where it does not exist.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var obj Object
	_, err := c.call(ctx, http.MethodGet, "/v1/objects/"+string(kind)+"/"+name, nil, nil, &obj)
	return ordered(obj), err
}

// Put stores body if the object's version still is version (zero: does not exist yet); ErrConflict otherwise.
func (c *Client) Put(ctx context.Context, kind Kind, name string, version int64, body []byte) (Object, error) {
	var obj Object
	header := http.Header{}
	header.Set("If-Match", strconv.FormatInt(version&(1<<countBits-1), 10))
	header.Set(HeaderEra, strconv.FormatInt(version>>countBits, 10))
	_, err := c.call(ctx, http.MethodPut, "/v1/objects/"+string(kind)+"/"+name, header, body, &obj)
	return ordered(obj), err
}

// List returns all objects of a kind and the global revision they were read at.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, int64, error) {
	var reply struct {
		Revision int64    `json:"revision"`
		Objects  []Object `json:"objects"`
	}
	_, err := c.call(ctx, http.MethodGet, "/v1/objects/"+string(kind), nil, nil, &reply)
	return orderedAll(reply.Objects), reply.Revision, err
}

// Watch waits at most wait for objects of a kind changed after the global revision, and returns them with the revision
// to resume at. Where the platform came back from an older copy since the last watch, it returns all objects at once.
func (c *Client) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) ([]Object, int64, error) {
	var reply struct {
		Revision int64    `json:"revision"`
		Objects  []Object `json:"objects"`
	}
	c.mu.Lock()
	era := c.watched[kind]
	c.mu.Unlock()
	path := fmt.Sprintf("/v1/watch/%s?after=%d&era=%d&wait_ms=%d", kind, after, era, wait.Milliseconds())
	era, err := c.call(ctx, http.MethodGet, path, nil, nil, &reply)
	if err == nil {
		c.mu.Lock()
		c.watched[kind] = era
		c.mu.Unlock()
	}
	return orderedAll(reply.Objects), reply.Revision, err
}

// Replicas returns the platform's list of upstream replicas, which lags.
func (c *Client) Replicas(ctx context.Context) ([]Replica, error) {
	var reply struct {
		Hosts []Replica `json:"hosts"`
	}
	_, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, nil, &reply)
	return reply.Hosts, err
}

// call makes one call and returns the era that its reply bears.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, reply any) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("platform request %s %s: %w", method, path, err)
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	defer resp.Body.Close()
	era := c.noteEra(resp.Header.Get(HeaderEra))
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxReply))
	if err != nil {
		return 0, fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return 0, fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	return era, nil
}

// noteEra reads the era of a reply; one that says none is of the first.
func (c *Client) noteEra(text string) int64 {
	era := feed.ParseEra(text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = max(c.era, era)
	return era
}

func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	default:
		return ErrUnavailable
	}
}
