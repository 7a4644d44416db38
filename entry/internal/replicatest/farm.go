package replicatest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/platform/platformtest"
)

// Answer describes how a replica handles one request.
type Answer struct {
	// After is the processing time.
	After time.Duration
	// Raw is the reply, written unchanged. If it is empty, the connection is closed without a reply.
	Raw []byte
	// Repeat is written after Raw again and again, RepeatBytes bytes in all. The connection then stays open without further
	// bytes.
	Repeat      []byte
	RepeatBytes int
	// Late is written on the same connection, LateAfter after the reply, or with LateNext once the next request has
	// arrived there.
	Late      []byte
	LateAfter time.Duration
	LateNext  bool
	// NotRun is set if the request does not run. Silent leaves the connection open without a reply.
	NotRun, Silent bool
	// Close closes the connection after the reply.
	Close bool
	// CrashFor crashes the replica instead of a reply, after the processing time: all its connections break, and new
	// ones are refused for this time.
	CrashFor time.Duration
}

// Replica is one simulated replica. Handle returns its answer to a request.
type Replica struct {
	Row    platform.Replica
	Handle func(r *http.Request, body []byte) Answer

	mu       sync.Mutex
	runs     []string
	arrivals int
	crashes  int
	// downUntil is when a crashed replica accepts connections again; conns holds the open connections.
	downUntil time.Time
	conns     map[net.Conn]bool
}

// Runs returns the ids of the requests that ran, in order.
func (r *Replica) Runs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs...)
}

// Arrivals returns the number of requests received, including those that did not run.
func (r *Replica) Arrivals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals
}

// TurnedAway returns the number of requests received that did not run.
func (r *Replica) TurnedAway() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals - len(r.runs)
}

// Crashes returns the number of crashes of the replica.
func (r *Replica) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

func (r *Replica) crash(down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
	r.downUntil = time.Now().Add(down)
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

// acceptConn registers a new connection and reports whether the replica accepts it; a crashed replica does not.
func (r *Replica) acceptConn(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.downUntil) {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Replica) dropConn(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// Farm is a set of simulated replicas, by address.
type Farm struct {
	mu           sync.Mutex
	replicas     map[netip.AddrPort]*Replica
	unresponsive map[netip.AddrPort]bool
	dials        int
	conns        []net.Conn
	// DialTime is the time to open a connection.
	DialTime time.Duration
}

// New returns a farm without replicas.
func New() *Farm {
	return &Farm{replicas: map[netip.AddrPort]*Replica{}, unresponsive: map[netip.AddrPort]bool{}}
}

// Add adds replica n of a service, whose answers are those of handle.
func (f *Farm) Add(service string, n int, handle func(r *http.Request, body []byte) Answer) *Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(f.replicas) + 1)}), 80)
	r := &Replica{Row: platform.Replica{ID: fmt.Sprintf("%s-%d", service, n), Service: service, Addr: addr, Zone: "a", State: platform.StateLive, Slots: 5}, Handle: handle, conns: map[net.Conn]bool{}}
	f.replicas[addr] = r
	return r
}

// Dark makes the replica's address unresponsive: new connections to it block until the context of the dial ends.
func (f *Farm) Dark(r *Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive[r.Row.Addr] = true
}

// Dials returns the number of dials, including those that failed.
func (f *Farm) Dials() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials
}

// Close closes all connections.
func (f *Farm) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// Batch returns all replicas as a batch of the platform's feed.
func (f *Farm) Batch() feed.Batch[platform.Replica] {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := feed.Batch[platform.Replica]{Revision: 1}
	for _, r := range f.replicas {
		b.Entries = append(b.Entries, feed.Entry[platform.Replica]{Name: r.Row.ID, Revision: 1, Value: r.Row})
	}
	return b
}

// Dial opens a connection to the replica at addr.
func (f *Farm) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	r, unresponsive := f.replicas[addr], f.unresponsive[addr]
	f.dials++
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(f.DialTime)
	here, there := net.Pipe()
	if r == nil || !r.acceptConn(there) {
		return nil, syscall.ECONNREFUSED
	}
	f.mu.Lock()
	f.conns = append(f.conns, there)
	f.mu.Unlock()
	go r.serve(there)
	return here, nil
}

func (r *Replica) serve(c net.Conn) {
	defer r.dropConn(c)
	br := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := r.Handle(req, body)
		if len(late) > 0 {
			if _, err := c.Write(late); err != nil {
				r.recordRequest(req, a)
				return
			}
			late = nil
		}
		r.recordRequest(req, a)
		time.Sleep(a.After)
		if a.CrashFor > 0 {
			r.crash(a.CrashFor)
			return
		}
		if a.Silent {
			// The connection stays open without a reply until the client closes it.
			_, _ = io.Copy(io.Discard, br)
			return
		}
		if _, err := c.Write(a.Raw); err != nil || len(a.Raw) == 0 || a.Close {
			return
		}
		if len(a.Repeat) > 0 {
			writeRepeatedly(c, a.Repeat, a.RepeatBytes)
			_, _ = io.Copy(io.Discard, br)
			return
		}
		if a.LateNext {
			late = a.Late
			continue
		}
		if len(a.Late) > 0 {
			time.Sleep(a.LateAfter)
			if _, err := c.Write(a.Late); err != nil {
				return
			}
		}
	}
}

// writeRepeatedly writes p to w until n bytes are written or w fails.
func writeRepeatedly(w io.Writer, p []byte, n int) {
	for n > 0 {
		written, err := w.Write(p[:min(len(p), n)])
		if err != nil {
			return
		}
		n -= written
	}
}

func (r *Replica) recordRequest(req *http.Request, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals++
	if !a.NotRun {
		r.runs = append(r.runs, platformtest.ReadRequestHeader(req).ID)
	}
}

// OK returns a handler that replies with the body after a delay. The reply's stamp is name and the request id.
func OK(name string, after time.Duration, body string) func(*http.Request, []byte) Answer {
	return func(req *http.Request, _ []byte) Answer {
		id := platformtest.ReadRequestHeader(req).ID
		return Answer{After: after, Raw: platformtest.Reply(http.StatusOK, id, name+"."+id, []byte(body))}
	}
}

// Broken returns a handler that runs the request and closes the connection without a reply.
func Broken(after time.Duration) func(*http.Request, []byte) Answer {
	return func(*http.Request, []byte) Answer { return Answer{After: after} }
}

// Crash returns a handler that crashes the replica after a delay, for the time down.
func Crash(after, down time.Duration) func(*http.Request, []byte) Answer {
	return func(*http.Request, []byte) Answer { return Answer{After: after, CrashFor: down} }
}

// Full returns a handler that sheds each request without running it.
func Full() func(*http.Request, []byte) Answer {
	return func(req *http.Request, _ []byte) Answer {
		return Answer{NotRun: true, Raw: platformtest.NotRun(platformtest.ReadRequestHeader(req).ID)}
	}
}

// Misdirected returns a handler that replies that the address belongs to another replica.
func Misdirected() func(*http.Request, []byte) Answer {
	return func(req *http.Request, _ []byte) Answer {
		return Answer{NotRun: true, Raw: platformtest.Misdirected(platformtest.ReadRequestHeader(req).ID)}
	}
}
