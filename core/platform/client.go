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

// Kind is a kind of object that the system stores on the platform.
type Kind string

// The kinds of objects: documents proposed by operators, documents accepted by a host, reported status, and addresses
// of hosts.
const (
	KindDocument Kind = "document"
	KindAccepted Kind = "accepted"
	KindStatus   Kind = "status"
	KindHosts    Kind = "entry_hosts"
)

// ReplicaRows is passed to Client.Rejected in place of a kind for rows of the replica list.
const ReplicaRows = "replicas"

// HeaderEra is the restart era: in a reply, how often the platform's store was restored from a backup; in a conditional
// update, the era in which the object that was read had been written.
const HeaderEra = "X-Platform-Era"

// versionCountBits is the number of low bits of a version that count updates within one era; the era is in the bits
// above.
const versionCountBits = 40

// maxHeaderBytes is the maximum size of a reply's header, with the interim replies before it, in bytes.
const maxHeaderBytes = 64 << 10

// MaxReply is the maximum size of a platform reply in bytes; the rest is not read.
const MaxReply = 8 << 20

// Errors of the object API that callers handle; any other failure is treated as an outage.
var (
	ErrNotFound    = errors.New("platform: no such object")
	ErrConflict    = errors.New("platform: the object has changed since it was read")
	ErrRateLimited = errors.New("platform: rate limit reached")
	ErrUnavailable = errors.New("platform: unavailable")
)

// Object is a versioned object of the platform.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version grows by one with each update of the object; zero means that the object does not exist. After a restore the
	// platform continues to count from the backup, but the versions that a Client returns are higher than all before.
	Version int64 `json:"version"`
	// Revision is the global revision of the platform at the last update of the object.
	Revision int64 `json:"revision"`
	// Era is the restart era of the last write of the object if the platform reports it, otherwise that of the reply that
	// contained the object; zero if neither is known.
	Era  int64           `json:"era,omitempty"`
	Body json.RawMessage `json:"body"`
	// Unreadable is why the object can't be decoded, nil if it can. It has no body then, and as much of the rest as was found.
	Unreadable error `json:"-"`
}

// Decode decodes the body. It returns the reason if the object is unreadable.
func (o Object) Decode(v any) error {
	if o.Unreadable != nil {
		return o.Unreadable
	}
	return json.Unmarshal(o.Body, v)
}

// ReplicaState is the state of an upstream replica in the platform's host list.
type ReplicaState string

// The states in the host list, which may be stale.
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
	// Slots is the number of requests that the replica runs concurrently, zero if it is not reported.
	Slots int `json:"slots,omitempty"`
	// Cold is the remaining warmup time of the replica after its start or after a time without use, as of the writing of
	// the row.
	Cold time.Duration `json:"cold,omitempty"`
	// Started is the start time of the replica's process by the replica's own clock, zero if it is not reported.
	Started time.Time `json:"started,omitzero"`
	// Sequence counts the rows that the process has written since its start, zero if it is not reported.
	Sequence int64 `json:"sequence,omitempty"`
}

// SameProcess reports whether both rows belong to the same process: a restarted replica keeps its id but has another
// start time.
func (r Replica) SameProcess(other Replica) bool {
	return r.ID == other.ID && r.Service == other.Service && r.Addr == other.Addr && r.Started.Equal(other.Started)
}

// OlderThan reports whether r was written before other, by the same process or by one that started earlier.
//
// A write may reach the store seconds after its writer has timed out. It is then the latest row in the store, and would
// restore a process that is gone or revert the leaving state of a replica.
func (r Replica) OlderThan(other Replica) bool {
	if !r.Started.Equal(other.Started) {
		return r.Started.Before(other.Started)
	}
	return r.Sequence < other.Sequence
}

// Client calls the platform's API at one address.
type Client struct {
	// Rejected, if not nil, is called with the objects of a list or a watch, or the rows of the replica list, that can't be
	// decoded, and their kind or ReplicaRows. It has to be set before the first call.
	Rejected func(kind string, list []feed.Rejected)

	http *khttp.Client
	base string

	mu sync.Mutex
	// era is the highest era of all replies, watchedEras holds the era of the last watch of each kind.
	era         int64
	watchedEras map[Kind]int64
}

// New returns a client of the platform at addr; only the context of a call limits its time.
func New(addr netip.AddrPort) (*Client, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes}
	hc, err := khttp.NewClient(context.Background(),
		khttp.WithTransport(transport), khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }))
	if err != nil {
		return nil, fmt.Errorf("platform client for %s: %w", addr, err)
	}
	return &Client{http: hc, base: "http://" + addr.String(), watchedEras: map[Kind]int64{}}, nil
}

// Era returns how often the platform's store was restored from a backup, according to the replies so far.
func (c *Client) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// orderVersion returns an object whose version is higher than those of all earlier eras.
func orderVersion(obj Object) Object {
	obj.Version, obj.Era = obj.Era<<versionCountBits|obj.Version, 0
	return obj
}

func orderVersions(objs []Object) []Object {
	for i := range objs {
		objs[i] = orderVersion(objs[i])
	}
	return objs
}

// Get returns one object, or ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	reply := objectReply{kind: kind, name: name}
	_, err := c.call(ctx, http.MethodGet, "/v1/objects/"+string(kind)+"/"+name, nil, nil, reply.parse)
	return orderVersion(reply.obj), err
}

// Put stores body if the object still has the given version (zero: it does not exist); otherwise it returns
// ErrConflict.
func (c *Client) Put(ctx context.Context, kind Kind, name string, version int64, body []byte) (Object, error) {
	reply := objectReply{kind: kind, name: name}
	header := http.Header{}
	header.Set("If-Match", strconv.FormatInt(version&(1<<versionCountBits-1), 10))
	header.Set(HeaderEra, strconv.FormatInt(version>>versionCountBits, 10))
	_, err := c.call(ctx, http.MethodPut, "/v1/objects/"+string(kind)+"/"+name, header, body, reply.parse)
	return orderVersion(reply.obj), err
}

// List returns all objects of a kind, also unreadable ones if their names are known, and the global revision at which they
// were read.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, int64, error) {
	reply := objectsReply{kind: kind}
	_, err := c.call(ctx, http.MethodGet, "/v1/objects/"+string(kind), nil, nil, reply.parse)
	c.reject(string(kind), reply.rejected)
	return orderVersions(reply.objects), reply.revision, err
}

// Watch waits at most wait for objects of a kind that change after the global revision after, and returns them with the
// revision to continue from. If the platform's store was restored since the last watch, it returns all objects at once.
func (c *Client) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) ([]Object, int64, error) {
	reply := objectsReply{kind: kind}
	c.mu.Lock()
	era := c.watchedEras[kind]
	c.mu.Unlock()
	path := fmt.Sprintf("/v1/watch/%s?after=%d&era=%d&wait_ms=%d", kind, after, era, wait.Milliseconds())
	era, err := c.call(ctx, http.MethodGet, path, nil, nil, reply.parse)
	c.reject(string(kind), reply.rejected)
	if err == nil {
		c.mu.Lock()
		c.watchedEras[kind] = era
		c.mu.Unlock()
	}
	return orderVersions(reply.objects), reply.revision, err
}

// Replicas returns the platform's list of upstream replicas, which may be stale, without the rows that can't be decoded.
func (c *Client) Replicas(ctx context.Context) ([]Replica, error) {
	var reply replicasReply
	_, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, nil, reply.parse)
	c.reject(ReplicaRows, reply.rejected)
	return reply.rows, err
}

// reject reports what could not be decoded.
func (c *Client) reject(kind string, list []feed.Rejected) {
	if c.Rejected != nil && len(list) > 0 {
		c.Rejected(kind, list)
	}
}

// call makes one call, passes the body of a successful reply to parse, and returns the era of the reply.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, parse func([]byte) error) (int64, error) {
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
	era := c.recordEra(resp.Header.Get(HeaderEra))
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxReply))
	if err != nil {
		return 0, fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if err := parse(b); err != nil {
		return 0, fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	return era, nil
}

// recordEra parses and records the era of a reply; a reply without one belongs to era zero.
func (c *Client) recordEra(text string) int64 {
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
