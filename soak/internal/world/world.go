package world

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"guavaspring.org/platform/platformtest"
	"guavaspring.org/soak/internal/proxy"
)

const (
	// RecordSize is the size of one record of a part.
	RecordSize = 16
	// partRecords is the number of records in a part.
	partRecords = 8
	// maxServiceTime is the upper limit of a replica's random service time.
	maxServiceTime = 40 * time.Millisecond
	// rejectRatio is the ratio of requests that a replica rejects, and faultRejectRatio the ratio while Reject runs.
	rejectRatio, faultRejectRatio = 0.05, 0.6
	// lateReplyRatio is the ratio of replies that are sent a second time while Reject runs.
	lateReplyRatio = 0.2
)

// Zone is the availability zone of hosts and replicas where there is only one.
const Zone = "osborne-hall"

// World holds the store, the replicas and the record of the requests that ran.
type World struct {
	Store *platformtest.Store
	http  *httptest.Server
	// Customers are the customers in the configuration, set before the first one is written; none if it names none.
	Customers []Customer
	// Zones are the availability zones of the replicas, in turns; none means that all are in Zone.
	Zones []string
	// Extend changes each version of the configuration before it is written; nil leaves it as it is.
	Extend func(config string) string

	mu             sync.Mutex
	replicas       []*Replica
	runs           map[string][]*Run
	versions       map[int][]string
	version        int
	acknowledgedAt time.Time
	customers      customerRuns
}

// Replica is a replica that hosts reach through a proxy.
type Replica struct {
	ID, Service string
	zone        string
	Proxy       *proxy.Proxy
	world       *World
	listener    net.Listener

	mu sync.Mutex
	// started is the start time of the replica's process in Unix milliseconds; sequence counts its store entries.
	started, sequence int64
	// drainedAt is the time at which the store had the drain announcement.
	drainedAt time.Time
	// lastAfterDrain is the time from drainedAt to the last request.
	lastAfterDrain time.Duration
	// rejecting is the number of calls of Reject in progress.
	rejecting int
	// garbling is how some replies are garbled, empty if none are.
	garbling Garbling
	pace     Pace
	// slots holds a value for each request that the replica works on, and waiting the number of those that wait for a slot.
	slots   chan struct{}
	waiting int
}

// New returns a World with an empty store.
func New() *World {
	s := platformtest.NewStore()
	return &World{Store: s, http: httptest.NewServer(s), runs: map[string][]*Run{}, versions: map[int][]string{}}
}

// StoreAddr returns the address that the store listens on.
func (w *World) StoreAddr() string { return w.http.Listener.Addr().String() }

// Close stops the replicas and closes the client connections of the store.
func (w *World) Close() {
	for _, r := range w.Replicas() {
		r.Proxy.Close()
		_ = r.listener.Close()
	}
	w.http.CloseClientConnections()
}

// Replicas returns all replicas ever added, drained ones too.
func (w *World) Replicas() []*Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Replica(nil), w.replicas...)
}

// Add starts a replica of a service and registers it.
func (w *World) Add(service string) (*Replica, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("replica of %s: %w", service, err)
	}
	p, err := proxy.New(l.Addr().String())
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	zone := Zone
	if len(w.Zones) > 0 {
		zone = w.Zones[len(w.replicas)%len(w.Zones)]
	}
	r := &Replica{ID: fmt.Sprintf("i-%s-%d", service, len(w.replicas)), Service: service, zone: zone, Proxy: p, world: w, listener: l, slots: make(chan struct{}, slots)}
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	go r.accept()
	r.start()
	return r, nil
}

// start registers a new process of the replica, started now.
func (r *Replica) start() {
	r.mu.Lock()
	r.started, r.sequence = time.Now().UnixMilli(), 0
	r.mu.Unlock()
	r.register("ready")
}

// register writes the replica's entry to the store.
func (r *Replica) register(state string) {
	r.mu.Lock()
	r.sequence++
	entry := r.entry(state, r.sequence)
	r.mu.Unlock()
	r.world.Store.Set("servers", r.ID, entry)
}

// entry returns the replica's entry in the store; r.mu must be held.
func (r *Replica) entry(state string, sequence int64) string {
	return platformtest.ReplicaStartedIn(r.zone, r.Service, r.Proxy.Addr(), state, r.started, sequence)
}

// Drain announces in the store that the replica is draining.
func (r *Replica) Drain() {
	r.register("draining")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainedAt = time.Now()
}

// Restart kills the replica's process and starts it again under the same id after down. A delayed entry of the old
// process then reaches the store after the first entry of the new one.
func (r *Replica) Restart(down time.Duration) {
	r.mu.Lock()
	late := r.entry("ready", r.sequence+1)
	r.mu.Unlock()
	r.Proxy.Set(proxy.Refuse)
	r.Proxy.Reset()
	time.Sleep(down)
	r.Proxy.Set(proxy.None)
	r.start()
	r.world.Store.Set("servers", r.ID, late)
	r.register("ready")
}

// Reject makes the replica reject most requests and send some replies a second time for t.
func (r *Replica) Reject(t time.Duration) {
	r.addRejecting(1)
	time.Sleep(t)
	r.addRejecting(-1)
}

func (r *Replica) addRejecting(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejecting += n
}

// ratios returns the ratios of rejected requests and of replies that are sent a second time.
func (r *Replica) ratios() (rejected, late float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejecting > 0 {
		return faultRejectRatio, lateReplyRatio
	}
	return rejectRatio, 0
}

// Drained returns the time at which the replica announced its drain, zero if it has not, and how long after it the last
// request arrived.
func (r *Replica) Drained() (time.Time, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drainedAt, r.lastAfterDrain
}

// SetConfig writes a version of the configuration with its shards and the service for writes.
func (w *World) SetConfig(version int, shards []string, desk string) {
	w.mu.Lock()
	w.versions[version] = shards
	w.mu.Unlock()
	config := w.withCustomers(platformtest.Config(version, `"`+strings.Join(shards, `","`)+`"`, desk))
	if w.Extend != nil {
		config = w.Extend(config)
	}
	w.Store.Set("config", "main", config)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.acknowledgedAt = version, time.Now()
}

// Config returns the latest version and the time at which the store acknowledged it.
func (w *World) Config() (version int, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.acknowledgedAt
}

// Version returns the version with exactly these shards, or zero. The set of shards is unique to each version.
func (w *World) Version(shards map[string]bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for v, list := range w.versions {
		same := len(list) == len(shards)
		for _, s := range list {
			same = same && shards[s]
		}
		if same {
			return v
		}
	}
	return 0
}

// Shards returns the shards of each version.
func (w *World) Shards() map[int][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := map[int][]string{}
	for v, list := range w.versions {
		all[v] = list
	}
	return all
}

// Runs returns how often the request with the given id ran.
func (w *World) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id])
}

func (r *Replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Replica) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	// late is a reply that is sent a second time, where the next one is due.
	var late []byte
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		how := r.drawGarbling()
		if how != Early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if _, err := c.Write(late); err != nil {
			return
		}
		header := platformtest.ReadRequestHeader(req)
		reply, run := r.answer(c, br, header)
		if reply == nil {
			return
		}
		if err := r.writeReply(c, br, how, header.ID, reply); err != nil {
			r.world.end(run, Dropped)
			return
		}
		r.world.end(run, Answered)
		if run != nil && r.currentPace().Unframed {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		late = nil
		if _, ratio := r.ratios(); rand.Float64() < ratio {
			late = reply
		}
	}
}

// answer returns the reply to a request, and its run unless the replica rejects it. The reply is nil if the connection ended
// before the work did.
func (r *Replica) answer(c net.Conn, br *bufio.Reader, seen platformtest.RequestHeader) ([]byte, *Run) {
	if seen.Replica != r.ID {
		return platformtest.Misdirected(seen.ID), nil
	}
	r.arrived()
	if rejected, _ := r.ratios(); rand.Float64() < rejected {
		return platformtest.NotRun(seen.ID), nil
	}
	if r.Service == LongService {
		if !r.acquireSlot() {
			return platformtest.NotRun(seen.ID), nil
		}
		defer r.releaseSlot()
	}
	r.world.mu.Lock()
	r.world.recordCustomer(seen)
	run := &Run{Replica: r.ID, Began: time.Now()}
	r.world.runs[seen.ID] = append(r.world.runs[seen.ID], run)
	r.world.mu.Unlock()
	if !r.work(c, br, seen.ID) {
		r.world.end(run, Dropped)
		return nil, run
	}
	if r.currentPace().Unframed {
		return platformtest.Unframed(seen.ID, Stamp(seen.ID, r.Service), Body(seen.ID, r.Service)), run
	}
	return platformtest.Reply(http.StatusOK, seen.ID, Stamp(seen.ID, r.Service), Body(seen.ID, r.Service)), run
}

func (r *Replica) arrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.drainedAt.IsZero() {
		r.lastAfterDrain = max(r.lastAfterDrain, time.Since(r.drainedAt))
	}
}

// Stamp returns the stamp of a service's part, which ties the part to the request id.
func Stamp(id, service string) string { return id + "." + service }

// Part returns the records of a service's reply to the request id.
func Part(id, service string) []byte {
	var b []byte
	for i := range partRecords {
		h := fnv.New128a()
		// Write of a hash.Hash never returns an error.
		_, _ = h.Write(binary.BigEndian.AppendUint32([]byte(id+"/"+service), uint32(i)))
		b = h.Sum(b)
	}
	return b
}
